/** What reads an engine's event stream, and what it reports. */

import { type IncomingMessage } from 'node:http'

/** Why a stream ended before its last event. */
export type StreamBreak = 'closed' | 'mismatch' | 'silent'

/** Takes what a reader reads. */
export interface StreamReceiver {
  /** One or more whole events, as they arrived; `index` is that of the last. */
  onEvents (raw: Buffer, index: number): void
  /** The events that carry the usage and end the stream, as they arrived. */
  onFinalEvents (raw: Buffer, index: number): void
  onInterruption (reason: StreamBreak): void
}

/** Reads one response of an engine. */
export abstract class AnswerReader {
  /** Reads nothing until `resume`; meanwhile the connection is not taken as silent. */
  abstract pause (): void
  abstract resume (): void
  /** Stops reading and closes the connection. */
  abstract stop (): void
}

/** What a reader is opened for. */
export interface ReaderOptions {
  readonly response: IncomingMessage
  readonly streamId: string
  /** Index of the first event that is expected. */
  readonly nextIndex: number
  /** Factor on the time without progress after which a connection is taken as silent. */
  readonly patience: number
  readonly receiver: StreamReceiver
}

/** Opens readers. */
export abstract class AnswerReaderFactory {
  abstract open (options: ReaderOptions): AnswerReader
}
