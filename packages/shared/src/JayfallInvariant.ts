/** Assertions on conditions that only a programming fault can break. */

import { VError } from 'verror'

/** Throws when `condition` is false. Use it for programming faults, never for bad input. */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new VError({ name: 'InvariantError' }, '%s', message)
}
