/** Errors that callers receive. Each has a stable code, an HTTP status, and a field that tells whether the requested work was executed. */

import { JayfallError, type ErrorInfo } from '#jayfall/shared'

/** Whether the work that the caller requested was executed. */
export type ExecutionState = 'no' | 'yes' | 'unknown'

const STATUS_BY_CODE = {
  head_malformed: 400,
  body_malformed: 400,
  session_invalid: 400,
  idempotency_key_required: 400,
  idempotency_key_invalid: 400,
  stream_token_invalid: 400,
  key_invalid: 401,
  version_forbidden: 403,
  session_forbidden: 403,
  service_forbidden: 403,
  model_unknown: 404,
  service_unknown: 404,
  route_unknown: 404,
  request_unknown: 404,
  session_expired: 409,
  session_version_withdrawn: 409,
  outcome_unknown: 409,
  head_timeout: 408,
  body_incomplete: 408,
  body_too_large: 413,
  content_type_unsupported: 415,
  idempotency_key_reused: 422,
  limit_exceeded: 429,
  head_too_large: 431,
  queue_full: 503,
  deadline_unreachable: 503,
  deadline_passed: 504,
  no_server: 503,
  attempts_exhausted: 502,
  version_unconfirmed: 503,
  store_unavailable: 503,
  billing_backlog_full: 503,
  instance_starting: 503,
  instance_stopping: 503,
  stream_incomplete: 502,
  internal: 500
} as const

export type ApiErrorCode = keyof typeof STATUS_BY_CODE

/** The JSON body of every error response. */
export interface ApiErrorBody {
  readonly error: {
    readonly code: ApiErrorCode
    readonly message: string
    readonly type: 'invalid_request_error' | 'server_error'
    readonly ran: ExecutionState
    readonly retryAfterMs?: number
    readonly requestId: string
    /** Path at which the caller can query the outcome. */
    readonly ask?: string
  }
}

/** Optional properties of an error. */
export interface ApiErrorDetails {
  readonly ran?: ExecutionState
  /** Milliseconds after which a retry may succeed. */
  readonly retryAfter?: number
  /** Path at which the caller can query the outcome. */
  readonly ask?: string
  /** Identifier of the request on the backend servers; by default the identifier of the caller's request. */
  readonly requestId?: string
  readonly info?: ErrorInfo
}

/** A refusal or failure that is reported to the caller. */
export class ApiError extends JayfallError {
  override readonly code: ApiErrorCode
  readonly status: number
  readonly ran: ExecutionState
  readonly retryAfter?: number
  readonly ask?: string
  readonly requestId?: string

  constructor (code: ApiErrorCode, message: string, details: ApiErrorDetails = {}, cause?: unknown) {
    super('ApiError', code, message, cause, details.info)
    this.code = code
    this.status = STATUS_BY_CODE[code]
    this.ran = details.ran ?? 'no'
    this.retryAfter = details.retryAfter
    this.ask = details.ask
    this.requestId = details.requestId
  }

  /** Creates the response body; `requestId` is used unless the error has an identifier of its own. */
  toBody (requestId: string): ApiErrorBody {
    return {
      error: {
        code: this.code,
        message: this.message.split(': ')[0],
        type: this.status < 500 ? 'invalid_request_error' : 'server_error',
        ran: this.ran,
        ...(this.retryAfter === undefined ? {} : { retryAfterMs: Math.ceil(this.retryAfter) }),
        requestId: this.requestId ?? requestId,
        ...(this.ask === undefined ? {} : { ask: this.ask })
      }
    }
  }
}

/** Converts any error into one that callers may see; unexpected errors become `internal`. */
export function toApiError (error: unknown): ApiError {
  if (error instanceof ApiError) return error
  return new ApiError('internal', 'the request failed inside the router', { ran: 'unknown' }, error)
}
