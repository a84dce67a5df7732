/**
 * The headers of a deployment, decoded into fields.
 *
 * The data path works on these fields; how they are called on the wire is the business of the
 * implementation, so that the same data path serves deployments with other names.
 */

import { type IncomingHttpHeaders } from 'node:http'

import { type ForwardingWorkspace } from './JayfallForwardingCatalogue'

/** One part of a prompt, as the caller names it. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What a caller says of its request. */
export interface CallerFields {
  /** Names one attempt of one caller; undefined when missing. */
  readonly requestId: string | undefined
  /** Milliseconds that the caller waits, counted from the arrival; undefined when it does not say. */
  readonly patience: number | undefined
  readonly key: string | undefined
  /** The event after which a stream goes on. */
  readonly lastEventId: string | undefined
  readonly session: string | undefined
  /** The model that the caller names; undefined for plain requests and where the router chooses. */
  readonly model: string | undefined
  readonly promptTokens: number
  readonly maximumOutputTokens: number
  readonly promptParts: readonly PromptPart[]
}

/** What the router says to the server in one attempt. */
export interface AttemptFields {
  readonly requestId: string
  /** Milliseconds that are left. */
  readonly patience: number
  readonly server: string
  readonly workspace: ForwardingWorkspace | undefined
  readonly model: string | undefined
  readonly lastEventId: string | undefined
  /** 0 is the most urgent. */
  readonly priority: number
  readonly bodyLength: number
}

/** A server's load as it reports it with an answer. */
export interface ServerLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes on its machine now; 1 is as usual. */
  readonly slowness: number
}

/** What a server says with its answer. */
export interface AnswerFields {
  /** The request that the answer belongs to; undefined when missing. */
  readonly requestId: string | undefined
  /** Whether the answer carries the server's signature. */
  readonly isSigned: boolean
  /** Whether the server states that it did not run the request. */
  readonly isNotRun: boolean
  readonly load: ServerLoad | undefined
  /** The model's own opinion of its answer, from 0 to 100. */
  readonly confidence: number | undefined
  /** The server that answered, when it says so. */
  readonly server: string | undefined
  /** Whether bytes of the body are not the server's own. */
  readonly isEncoded: boolean
}

/** Reads and writes the headers of one deployment. */
export abstract class ForwardingProtocol {
  abstract decodeCallerHeaders (headers: IncomingHttpHeaders): CallerFields
  /** The caller's raw headers with those of the attempt; without those that concern one connection. */
  abstract encodeAttemptHeaders (rawHeaders: readonly string[], fields: AttemptFields): string[]
  abstract decodeAnswerHeaders (headers: IncomingHttpHeaders): AnswerFields
  /** Header names and values of a refusal. @param retryAfter milliseconds. */
  abstract encodeRefusalHeaders (requestId: string | undefined, retryAfter: number | undefined): Readonly<Record<string, string>>
}

/** Headers that concern one connection and are never passed on. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Pairs of name and value that are passed on; `isLeftOut` is given lower-case names. */
export function * endToEndHeaders (rawHeaders: readonly string[], isLeftOut: (name: string) => boolean): Generator<readonly [string, string]> {
  const named = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1].split(',')) named.add(name.trim().toLowerCase())
  }
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase()
    if (CONNECTION_HEADERS.has(name) || named.has(name) || isLeftOut(name)) continue
    yield [rawHeaders[index], rawHeaders[index + 1]]
  }
}
