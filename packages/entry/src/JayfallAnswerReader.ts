/** The interface of the readers of an engine's event stream, and of the object that receives the events. */

import { type IncomingMessage } from 'node:http'

/** Why a stream ended before its last event: the connection closed, an event of another stream arrived, or no data arrived in time. */
export type StreamInterruption = 'closed' | 'mismatch' | 'silent'

/** Receives the events that a reader has read. */
export interface StreamReceiver {
  /** Receives one or more complete events, unmodified; `index` is the index of the last one. */
  onEvents (raw: Buffer, index: number): void
  /** Receives the events that carry the token usage and end the stream, unmodified. */
  onFinalEvents (raw: Buffer, index: number): void
  /** Reports that the stream ended before its last event. */
  onInterruption (reason: StreamInterruption): void
}

/** Reads the event stream of one response. */
export abstract class AnswerReader {
  /** Stops reading until `resume` is called; a paused connection is never reported as silent. */
  abstract pause (): void
  abstract resume (): void
  /** Stops reading and closes the connection. */
  abstract stop (): void
}

/** The stream to read and the receiver of its events. */
export interface ReaderOptions {
  readonly response: IncomingMessage
  readonly streamId: string
  /** Index of the first expected event. */
  readonly nextIndex: number
  /** Factor by which the time without data is multiplied before the connection is reported as silent. */
  readonly patience: number
  readonly receiver: StreamReceiver
}

/** Creates a reader for each response. */
export abstract class AnswerReaderFactory {
  abstract open (options: ReaderOptions): AnswerReader
}
