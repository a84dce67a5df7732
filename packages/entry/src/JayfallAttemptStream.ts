/**
 * The stream of one attempt on an engine, over as many connections as it takes.
 *
 * A stream that breaks, goes silent or delivers another stream's events is resumed at the
 * next index on a new connection. The attempt fails when that no longer makes progress.
 */

import { type IncomingMessage } from 'node:http'

import { type AnswerReader, type StreamBreak } from './JayfallAnswerReader'
import { BackendError } from './JayfallBackendError'
import { type BackendCall } from './JayfallBackendClient'
import { refusalNow, type DataContext } from './JayfallDataContext'
import { FIRST_TOKEN_LIMIT_MILLISECONDS, MAXIMUM_RESUMPTIONS, TRACE_HEADER } from './JayfallEntryConstants'

/** Which stream is read, and from where. */
export interface AttemptTarget {
  readonly requestId: string
  readonly workspace: string
  readonly version: string
  readonly server: string
  /** IP address and port of the server. */
  readonly address: string
  readonly streamId: string
  /** Of the hop that the engine's work belongs to. */
  readonly traceparent: string
}

/** Takes what the attempt delivers. */
export interface AttemptReceiver {
  /** Whole events in order, without a gap. */
  onEvents (raw: Buffer): void
  /** The events that end the answer. */
  onFinal (raw: Buffer): void
  /** The attempt cannot go on. */
  onFailure (error: BackendError): void
}

/** Reads one stream to its end. */
export class AttemptStream {
  private reader: AnswerReader | undefined
  private stopped = false
  private resumptionsWithoutProgress = 0

  /** @param nextIndex index of the first event that is expected. */
  constructor (
    private readonly context: DataContext,
    readonly target: AttemptTarget,
    private nextIndex: number,
    private readonly receiver: AttemptReceiver
  ) {}

  /**
   * Starts the stream, and reads it once `isReady` has resolved.
   * @throws BackendError when the engine does not take it.
   */
  async start (call: Pick<BackendCall, 'headers' | 'payload'>, isReady: Promise<void>): Promise<void> {
    const sent = this.context.backend.send({
      method: 'POST',
      address: this.target.address,
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', 'x-request-id': this.target.streamId, [TRACE_HEADER]: this.target.traceparent, ...call.headers },
      payload: call.payload,
      headTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS
    })
    const [response] = await Promise.all([sent, isReady])
    this.read(response)
  }

  /** Reads a stream that runs already. @throws BackendError when the engine no longer has it. */
  async resume (): Promise<void> {
    const response = await this.context.backend.send({
      method: 'GET',
      address: this.target.address,
      path: `${this.streamPath()}?offset=${this.nextIndex}`,
      headers: { [TRACE_HEADER]: this.target.traceparent },
      headTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS,
      // A kept-alive connection may be silent for the same reason as the one that broke.
      freshConnection: true
    })
    this.read(response)
  }

  /** Reads nothing until `unpause`. */
  pause (): void {
    this.reader?.pause()
  }

  unpause (): void {
    this.reader?.resume()
  }

  /** Stops reading; the engine goes on. */
  stop (): void {
    this.stopped = true
    this.reader?.stop()
  }

  /** Stops reading and tells the engine to stop generating. */
  cancel (): void {
    this.stop()
    this.context.backend.send({
      method: 'DELETE', address: this.target.address, path: this.streamPath(), headers: {}, headTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS
    }).then(response => response.resume(), (error: Error) => this.context.log.debug('cancel_failed', { request: this.target.requestId, message: error.message }))
  }

  private read (response: IncomingMessage): void {
    if (this.stopped) {
      response.destroy()
      return
    }
    assertExpected(response, this.target.streamId)
    this.reader = this.context.parts.streamReaders.open({
      response,
      streamId: this.target.streamId,
      nextIndex: this.nextIndex,
      patience: 2 ** this.resumptionsWithoutProgress,
      receiver: {
        onEvents: (raw, index) => {
          this.nextIndex = index + 1
          this.resumptionsWithoutProgress = 0
          this.receiver.onEvents(raw)
        },
        onFinalEvents: raw => this.receiver.onFinal(raw),
        onInterruption: reason => { this.recover(reason).catch((error: unknown) => this.fail(error)) }
      }
    })
  }

  private async recover (reason: StreamBreak): Promise<void> {
    if (this.stopped) return
    if (this.resumptionsWithoutProgress >= MAXIMUM_RESUMPTIONS) {
      throw new BackendError(reason === 'silent' ? 'silent' : 'broken', `the stream broke off (${reason}) and made no progress on ${MAXIMUM_RESUMPTIONS} new connections`)
    }
    this.assertStillAllowed()
    this.resumptionsWithoutProgress++
    this.context.log.warn('stream_resumed', { request: this.target.requestId, server: this.target.server, reason, index: this.nextIndex })
    await this.resume()
  }

  /** A running stream may finish on a version that was withdrawn, but not on one that was forbidden. @throws BackendError. */
  private assertStillAllowed (): void {
    const { workspace, version } = this.target
    const refusal = refusalNow(this.context, workspace, version)
    if (refusal === 'version_forbidden' || refusal === 'version_unknown') {
      throw new BackendError('broken', `the workspace may no longer use ${version}`)
    }
  }

  private fail (error: unknown): void {
    if (this.stopped) return
    this.stop()
    this.receiver.onFailure(error instanceof BackendError ? error : new BackendError('broken', 'the attempt failed', error))
  }

  private streamPath (): string {
    return `/streams/${encodeURIComponent(this.target.streamId)}`
  }
}

/** @throws BackendError unless the response is a stream of the expected identifier. */
function assertExpected (response: IncomingMessage, streamId: string): void {
  const answered = response.headers['x-request-id']
  const isOther = answered !== undefined && answered !== streamId
  if (response.statusCode === 200 && !isOther) return
  response.destroy()
  throw new BackendError('broken', isOther ? 'the engine answered another request' : `the engine answered with status ${response.statusCode}`)
}
