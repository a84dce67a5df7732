/** Assertions of conditions that only a programming error can violate. */

import { VError } from 'verror'

/** Throws when `condition` is false. Use it for programming errors, never for invalid input. */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new VError({ name: 'InvariantError' }, '%s', message)
}
