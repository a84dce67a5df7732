/** Compares two states of an entry field by field. */

/** A field whose value differs. A value is undefined when the entry lacks the field. */
export interface FieldDifference {
  /** Path of the field within the entry, such as `price.promptPerMillionTokens`. */
  readonly field: string
  readonly before: unknown
  readonly after: unknown
}

/** Returns the fields that differ, sorted by path. Lists are compared as a whole. */
export function compareFields (before: object, after: object): readonly FieldDifference[] {
  const fieldsBefore = new Map(flatten(before))
  const fieldsAfter = new Map(flatten(after))
  return [...new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()])].sort()
    .map(field => ({ field, before: fieldsBefore.get(field), after: fieldsAfter.get(field) }))
    .filter(difference => JSON.stringify(difference.before) !== JSON.stringify(difference.after))
}

/** Yields the fields of an object and of the objects within it, with their paths. */
function * flatten (value: object, prefix = ''): Generator<readonly [string, unknown]> {
  for (const [key, field] of Object.entries(value)) {
    if (typeof field === 'object' && field !== null && !Array.isArray(field)) yield * flatten(field, `${prefix}${key}.`)
    else yield [`${prefix}${key}`, field]
  }
}
