/** Typed access to the text fields of a caller's request. */

import { type Request } from '@hapi/hapi'
import { invariant } from '#jayfall/shared'
import { type WorkClass } from '#jayfall/routing'
import { type Hop } from '#jayfall/telemetry'

/** What the router keeps with a caller's request. */
interface RequestState {
  hop?: Hop
  workClass?: WorkClass
}

export function requestState (request: Request): RequestState {
  return request.app as RequestState
}

/** The hop of a request on a traced route. */
export function requestHop (request: Request): Hop {
  const { hop } = requestState(request)
  invariant(hop !== undefined, 'every route of callers is traced')
  return hop
}

/** A header, or undefined when it is absent. */
export function headerValue (request: Request, name: string): string | undefined {
  const value: unknown = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** A path parameter, decoded. */
export function pathParameter (request: Request, name: string): string {
  return String(request.params[name] ?? '')
}
