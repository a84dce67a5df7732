/** Typed access to the text fields of a request. */

import { type Request } from '@hapi/hapi'

/** A path parameter, decoded. */
export function pathParameter (request: Request, name: string): string {
  return String(request.params[name] ?? '')
}

/** A query parameter, or `fallback` when it is absent. */
export function queryParameter (request: Request, name: string, fallback = ''): string {
  return String((request.query as Record<string, unknown>)[name] ?? fallback)
}

/** A header, or undefined when it is absent. */
export function headerValue (request: Request, name: string): string | undefined {
  const value: unknown = request.headers[name]
  return value === undefined ? undefined : String(value)
}
