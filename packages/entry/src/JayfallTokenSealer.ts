/** Session and stream tokens. Callers store them; they are sealed with authenticated encryption and are valid for one workspace. */

import * as Iron from '@hapi/iron'

import { ApiError, type ApiErrorCode } from './JayfallApiError'
import { SESSION_LIFETIME_MILLISECONDS } from './JayfallEntryConstants'

/** The content of a session token. */
export interface SessionToken {
  readonly kind: 'session'
  readonly workspace: string
  readonly model: string
  readonly version: string
  /** The server that handled the last request of the session. */
  readonly server: string
  /** Wall-clock milliseconds. */
  readonly issuedAt: number
}

/** The content of a stream token: where a response can be resumed. */
export interface StreamToken {
  readonly kind: 'stream'
  readonly workspace: string
  readonly requestId: string
  /** The engine's stream identifier. */
  readonly streamId: string
  readonly server: string
  readonly version: string
  readonly billKey: string
  /** Wall-clock milliseconds. */
  readonly issuedAt: number
}

type Token = SessionToken | StreamToken

/** Seals and opens tokens. The first password seals tokens and all passwords open them, so that passwords can be replaced. */
export class TokenSealer {
  private passwords: Readonly<Record<string, string>> = {}
  private currentPasswordId = ''

  /** @param passwords `identifier:password`, newest first. */
  constructor (passwords: readonly string[]) {
    this.replacePasswords(passwords)
  }

  replacePasswords (passwords: readonly string[]): void {
    const pairs = passwords.map(text => [text.slice(0, text.indexOf(':')), text.slice(text.indexOf(':') + 1)] as const)
    this.passwords = Object.fromEntries(pairs)
    this.currentPasswordId = pairs[0][0]
  }

  seal (token: Token): Promise<string> {
    return Iron.seal(token, { id: this.currentPasswordId, secret: this.passwords[this.currentPasswordId] }, Iron.defaults)
  }

  /** Opens a session token; `now` is in wall-clock milliseconds. @throws ApiError `session_invalid`, `session_forbidden` or `session_expired`. */
  async openSession (sealed: string, workspace: string, now: number): Promise<SessionToken> {
    const token = await this.open(sealed, 'session_invalid')
    if (token.kind !== 'session') throw new ApiError('session_invalid', 'the token is not a session token')
    if (token.workspace !== workspace) throw new ApiError('session_forbidden', 'the session belongs to another workspace')
    if (now - token.issuedAt > SESSION_LIFETIME_MILLISECONDS) throw new ApiError('session_expired', 'the session has expired; start a new one without the header')
    return token
  }

  /** Opens a stream token. @throws ApiError `stream_token_invalid` or `session_forbidden`. */
  async openStream (sealed: string, workspace: string): Promise<StreamToken> {
    const token = await this.open(sealed, 'stream_token_invalid')
    if (token.kind !== 'stream') throw new ApiError('stream_token_invalid', 'the token is not a stream token')
    if (token.workspace !== workspace) throw new ApiError('session_forbidden', 'the stream belongs to another workspace')
    return token
  }

  private async open (sealed: string, code: ApiErrorCode): Promise<Token> {
    try {
      return await Iron.unseal(sealed, this.passwords, Iron.defaults) as Token
    } catch (error) {
      throw new ApiError(code, 'the token is not one that this system issued', {}, error)
    }
  }
}
