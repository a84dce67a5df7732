/**
 * The interface to the format in which operators write a configuration.
 *
 * A format decodes a configuration into the types of this module, which keep what an instance drops while
 * decoding: services and workspaces of the same name, workspaces without keys, keys that occur twice.
 * Rules name a field by its decoded path, and the format returns the path that operators know.
 */

import { type CallerLimits, type ForwardedService, type ForwardingRoute, type ForwardingWorkspace } from '#jayfall/forwarding'

import { type Finding } from './JayfallFindingReport'

/** What a service says about servers that have just started. Either value may be missing. */
export interface ColdService {
  /** Milliseconds for which a server is cold. */
  readonly duration?: number
  /** Requests per second that a cold server can handle. */
  readonly requestsPerSecond?: number
}

export type CheckedService = Omit<ForwardedService, 'cold'> & { readonly cold?: ColdService }

export interface CheckedWorkspace extends ForwardingWorkspace {
  readonly keys: readonly string[]
}

export interface CheckedConfiguration {
  readonly version: number
  readonly routes: readonly ForwardingRoute[]
  readonly services: readonly CheckedService[]
  /** Undefined when no request needs a key. */
  readonly workspaces: readonly CheckedWorkspace[] | undefined
  readonly limits: CallerLimits
}

/** Limits that instances apply, whatever the configuration says. */
export interface InstanceLimits {
  /** Remaining milliseconds of a request below which it is not sent to a server. */
  readonly minimumAttempt: number
  readonly maximumHeaderBytes: number
}

/** Names of decoded fields and positions in lists, such as `['routes', 3, 'timeout']`. */
export type FieldPath = readonly (string | number)[]

export type EntrySection = 'routes' | 'services' | 'workspaces' | 'limits'

/** An entry as operators write it, to be compared with another version. */
export interface ConfigurationEntry {
  readonly section: EntrySection
  /** Entries of two versions with the same section and name are compared with each other. */
  readonly name: string
  readonly path: string
  /** Values by written field name; fields that are not written have their default. */
  readonly fields: Readonly<Record<string, unknown>>
  /** Lists that are compared but never shown, by written field name. */
  readonly secrets: Readonly<Record<string, readonly string[]>>
}

export interface ConfigurationReading {
  /** Undefined when an instance would reject the configuration. */
  readonly configuration: CheckedConfiguration | undefined
  /** Findings that concern the format itself. */
  readonly findings: readonly Finding[]
  readonly entries: readonly ConfigurationEntry[]
  /** Returns the path of a decoded field as operators write it. */
  readonly describePath: (path: FieldPath) => string
}

export abstract class ConfigurationFormat {
  abstract readonly instanceLimits: InstanceLimits
  /** @param document any JSON value. */
  abstract read (document: unknown): ConfigurationReading
}
