/** Lookup of the session that a request belongs to. */

import { type SessionToken, type TokenSealer } from './JayfallTokenSealer'

/** Finds the session of a request. */
export abstract class SessionPolicy {
  /**
   * Returns the session in the sealed token of the caller; undefined without a token.
   * @param now wall-clock milliseconds.
   * @throws ApiError when the token is not valid for the workspace.
   */
  abstract find (tokenSealer: TokenSealer, sealed: string | undefined, workspace: string, now: number): Promise<SessionToken | undefined>
}

/** Reads the session from the token that the caller sends, so that any instance can continue the session. */
export class SealedSessionPolicy extends SessionPolicy {
  override async find (tokenSealer: TokenSealer, sealed: string | undefined, workspace: string, now: number): Promise<SessionToken | undefined> {
    return sealed === undefined ? undefined : await tokenSealer.openSession(sealed, workspace, now)
  }
}
