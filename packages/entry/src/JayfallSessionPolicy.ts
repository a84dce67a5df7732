/** How a request's session is found. */

import { type SessionToken, type TokenSeal } from './JayfallTokenSeal'

export abstract class SessionPolicy {
  /**
   * The session that the sealed token stands for.
   * @param now wall-clock milliseconds.
   * @throws ApiError when the token is not valid for the workspace.
   */
  abstract find (seal: TokenSeal, sealed: string | undefined, workspace: string, now: number): Promise<SessionToken | undefined>
}

/** The caller carries the session in a sealed token, so that any instance can go on with it. */
export class SealedSessionPolicy extends SessionPolicy {
  override async find (seal: TokenSeal, sealed: string | undefined, workspace: string, now: number): Promise<SessionToken | undefined> {
    return sealed === undefined ? undefined : await seal.openSession(sealed, workspace, now)
  }
}
