/**
 * The event stream of one attempt on an engine, read over one or more connections.
 *
 * When a connection closes, becomes silent or delivers events of another stream, the stream is resumed
 * at the next index on a new connection. The attempt fails when new connections make no progress.
 */

import { type IncomingMessage } from 'node:http'

import { type AnswerReader, type StreamInterruption } from './JayfallAnswerReader'
import { BackendError } from './JayfallBackendError'
import { type BackendCall } from './JayfallBackendClient'
import { findCurrentRefusal, type DataContext } from './JayfallDataContext'
import { FIRST_TOKEN_LIMIT_MILLISECONDS, MAXIMUM_RESUMPTIONS, TRACE_HEADER } from './JayfallEntryConstants'

/** Identifies the stream and the server that it is read from. */
export interface AttemptTarget {
  readonly requestId: string
  readonly workspace: string
  readonly version: string
  readonly server: string
  /** IP address and port of the server. */
  readonly address: string
  readonly streamId: string
  /** W3C trace context of the attempt's span, which the engine's spans belong to. */
  readonly traceparent: string
}

/** Receives the events and the failure of an attempt. */
export interface AttemptReceiver {
  /** Receives complete events, in order and without a gap. */
  onEvents (raw: Buffer): void
  /** Receives the events that end the response. */
  onFinal (raw: Buffer): void
  /** Reports that the attempt cannot continue. */
  onFailure (error: BackendError): void
}

/** Reads one stream until it ends. */
export class AttemptStream {
  private reader: AnswerReader | undefined
  private isStopped = false
  private resumptionsWithoutProgress = 0

  /** @param nextIndex index of the first expected event. */
  constructor (
    private readonly context: DataContext,
    readonly target: AttemptTarget,
    private nextIndex: number,
    private readonly receiver: AttemptReceiver
  ) {}

  /**
   * Sends the request to the engine, and reads the response once `mayRead` has resolved.
   * @throws BackendError when the engine does not accept the request.
   */
  async start (call: Pick<BackendCall, 'headers' | 'payload'>, mayRead: Promise<void>): Promise<void> {
    const pendingResponse = this.context.backend.send({
      method: 'POST',
      address: this.target.address,
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', 'x-request-id': this.target.streamId, [TRACE_HEADER]: this.target.traceparent, ...call.headers },
      payload: call.payload,
      headersTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS
    })
    const [response] = await Promise.all([pendingResponse, mayRead])
    this.readResponse(response)
  }

  /** Continues a stream that the engine has already started, at the next index. @throws BackendError when the engine no longer has it. */
  async resume (): Promise<void> {
    const response = await this.context.backend.send({
      method: 'GET',
      address: this.target.address,
      path: `${this.streamPath()}?offset=${this.nextIndex}`,
      headers: { [TRACE_HEADER]: this.target.traceparent },
      headersTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS,
      // A pooled connection may be silent for the same reason as the one that failed.
      hasOwnConnection: true
    })
    this.readResponse(response)
  }

  /** Stops reading until `resumeReading` is called. */
  pauseReading (): void {
    this.reader?.pause()
  }

  resumeReading (): void {
    this.reader?.resume()
  }

  /** Stops reading; the engine continues to generate. */
  stop (): void {
    this.isStopped = true
    this.reader?.stop()
  }

  /** Stops reading and tells the engine to stop generating. */
  cancel (): void {
    this.stop()
    this.context.backend.send({
      method: 'DELETE', address: this.target.address, path: this.streamPath(), headers: {}, headersTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS
    }).then(response => response.resume(), (error: Error) => this.context.log.debug('cancel_failed', { request: this.target.requestId, message: error.message }))
  }

  private readResponse (response: IncomingMessage): void {
    if (this.isStopped) {
      response.destroy()
      return
    }
    assertExpectedResponse(response, this.target.streamId)
    this.reader = this.context.components.streamReaders.open({
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
        onInterruption: reason => { this.reconnect(reason).catch((error: unknown) => this.reportFailure(error)) }
      }
    })
  }

  private async reconnect (reason: StreamInterruption): Promise<void> {
    if (this.isStopped) return
    if (this.resumptionsWithoutProgress >= MAXIMUM_RESUMPTIONS) {
      throw new BackendError(reason === 'silent' ? 'silent' : 'broken', `the stream was interrupted (${reason}) and made no progress on ${MAXIMUM_RESUMPTIONS} new connections`)
    }
    this.assertStillAllowed()
    this.resumptionsWithoutProgress++
    this.context.log.warn('stream_resumed', { request: this.target.requestId, server: this.target.server, reason, index: this.nextIndex })
    await this.resume()
  }

  /** A running stream may finish on a version that has been withdrawn, but not on one that the workspace may no longer use. @throws BackendError. */
  private assertStillAllowed (): void {
    const { workspace, version } = this.target
    const refusal = findCurrentRefusal(this.context, workspace, version)
    if (refusal === 'version_forbidden' || refusal === 'version_unknown') {
      throw new BackendError('broken', `the workspace may no longer use ${version}`)
    }
  }

  private reportFailure (error: unknown): void {
    if (this.isStopped) return
    this.stop()
    this.receiver.onFailure(error instanceof BackendError ? error : new BackendError('broken', 'the attempt failed', error))
  }

  private streamPath (): string {
    return `/streams/${encodeURIComponent(this.target.streamId)}`
  }
}

/** @throws BackendError unless the response is the stream with the expected identifier. */
function assertExpectedResponse (response: IncomingMessage, streamId: string): void {
  const responseStreamId = response.headers['x-request-id']
  const isOtherStream = responseStreamId !== undefined && responseStreamId !== streamId
  if (response.statusCode === 200 && !isOtherStream) return
  response.destroy()
  throw new BackendError('broken', isOtherStream ? 'the engine answered another request' : `the engine answered with status ${response.statusCode}`)
}
