/** Typed access to the text fields of a caller's request. */

import { type Request } from '@hapi/hapi'

/** A header, or undefined when it is absent. */
export function headerValue (request: Request, name: string): string | undefined {
  const value: unknown = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** A path parameter, decoded. */
export function pathParameter (request: Request, name: string): string {
  return String(request.params[name] ?? '')
}
