/** Typed access to headers, path parameters and router state of a caller's request. */

import { type Request } from '@hapi/hapi'
import { invariant } from '#jayfall/shared'
import { type WorkClass } from '#jayfall/routing'
import { type Hop } from '#jayfall/telemetry'

/** State that the data plane attaches to a hapi request. */
interface RequestState {
  hop?: Hop
  workClass?: WorkClass
}

/** Returns the state that is attached to a request. */
export function requestState (request: Request): RequestState {
  return request.app as RequestState
}

/** Returns the span of a request on a traced route. */
export function requestHop (request: Request): Hop {
  const { hop } = requestState(request)
  invariant(hop !== undefined, 'every route of callers is traced')
  return hop
}

/** Returns a header; undefined when it is absent or not a single text. */
export function headerValue (request: Request, name: string): string | undefined {
  const value: unknown = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** Returns a decoded path parameter, or an empty text when it is absent. */
export function pathParameter (request: Request, name: string): string {
  return String(request.params[name] ?? '')
}
