/** Error messages for callers whose request the router refuses. */

import { type RefusalCode } from '#jayfall/routing'

export function refusalMessage (code: RefusalCode): string {
  const messages = {
    limit_exceeded: 'the workspace has reached its limit',
    queue_full: 'too many requests wait',
    deadline_unreachable: 'the request would not be answered within its deadline',
    deadline_passed: 'the request was not answered within its deadline',
    no_server: 'no backend server can take the request now',
    attempts_exhausted: 'all attempts on backend servers failed'
  } as const
  return messages[code]
}
