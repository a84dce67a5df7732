/** Describes the difference between two states of a catalogue entry, with one line for each value of a field. */

import { compareFields } from '#jayfall/configuration'

/** Returns lines such as `- price.promptPerMillionTokens 2` and `+ price.promptPerMillionTokens 3`. */
export function describeEntryDifference (before: object | undefined, after: object): readonly string[] {
  return compareFields(before ?? {}, after).flatMap(({ field, before, after }) => [
    ...(before === undefined ? [] : [`- ${field} ${JSON.stringify(before)}`]),
    ...(after === undefined ? [] : [`+ ${field} ${JSON.stringify(after)}`])
  ])
}
