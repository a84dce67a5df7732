/**
 * Decodes and encodes the HTTP headers of a deployment.
 *
 * Request forwarding works on the decoded fields. Each deployment implements `ForwardingProtocol` with
 * its own header names, so the same forwarding code serves deployments with different headers.
 */

import { type IncomingHttpHeaders } from 'node:http'

import { type ForwardingWorkspace } from './JayfallForwardingCatalogue'

/** One part of a prompt, as identified by the caller. Parts are listed in the order of the prompt. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Fields of a caller's request. */
export interface CallerFields {
  /** Identifies one attempt of one caller; undefined when missing. */
  readonly requestId: string | undefined
  /** Milliseconds from the arrival of the request that the caller waits for its answer; undefined when not given. */
  readonly patience: number | undefined
  readonly key: string | undefined
  /** The event after which a stream is to be resumed. */
  readonly lastEventId: string | undefined
  readonly session: string | undefined
  /** The model that the caller requests; undefined for plain requests and when the router chooses the model. */
  readonly model: string | undefined
  readonly promptTokens: number
  readonly maximumOutputTokens: number
  readonly promptParts: readonly PromptPart[]
}

/** Fields that the router sends to a server with one attempt. */
export interface AttemptFields {
  readonly requestId: string
  /** Milliseconds that are left for the request. */
  readonly patience: number
  readonly server: string
  readonly workspace: ForwardingWorkspace | undefined
  readonly model: string | undefined
  readonly lastEventId: string | undefined
  /** Priority for the engine; 0 is the most urgent. */
  readonly priority: number
  readonly bodyLength: number
}

/** The load that a server reports with an answer. */
export interface ServerLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Current slowdown of the server's machine as a factor; 1 is the usual speed. */
  readonly slowness: number
}

/** Fields of a server's answer. */
export interface AnswerFields {
  /** The request that the answer belongs to; undefined when missing. */
  readonly requestId: string | undefined
  /** Whether the answer carries the server's signature. */
  readonly isSigned: boolean
  /** Whether the server states that it did not run the request. */
  readonly isNotRun: boolean
  readonly load: ServerLoad | undefined
  /** Requests per second that the server takes from all instances together; undefined when it names no limit. */
  readonly rateLimit: number | undefined
  /** Milliseconds for which the server stays cold; undefined when the answer does not say. */
  readonly coldTime?: number
  /** The model's confidence in its answer, from 0 to 100. */
  readonly confidence: number | undefined
  /** The server that answered; undefined when not given. */
  readonly server: string | undefined
  /** Whether the body has a content encoding, which means that its bytes are not the ones that the server produced. */
  readonly isEncoded: boolean
}

/** Decodes and encodes the headers of one deployment. */
export abstract class ForwardingProtocol {
  abstract decodeCallerHeaders (headers: IncomingHttpHeaders): CallerFields
  /** Creates the raw headers of an attempt: the caller's headers, without those that concern one connection, and those of the attempt. */
  abstract encodeAttemptHeaders (rawHeaders: readonly string[], fields: AttemptFields): string[]
  abstract decodeAnswerHeaders (headers: IncomingHttpHeaders): AnswerFields
  /**
   * Creates the names and values of the headers of a refusal.
   * @param retryAfter milliseconds after which the caller may retry.
   */
  abstract encodeRefusalHeaders (requestId: string | undefined, retryAfter: number | undefined): Readonly<Record<string, string>>
}

/** Headers that concern one connection and are never forwarded. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/**
 * Yields the pairs of name and value to forward.
 * @param isExcluded is called with lower-case names.
 */
export function * endToEndHeaders (rawHeaders: readonly string[], isExcluded: (name: string) => boolean): Generator<readonly [string, string]> {
  const connectionOptions = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1].split(',')) connectionOptions.add(name.trim().toLowerCase())
  }
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase()
    if (CONNECTION_HEADERS.has(name) || connectionOptions.has(name) || isExcluded(name)) continue
    yield [rawHeaders[index], rawHeaders[index + 1]]
  }
}
