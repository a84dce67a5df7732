/** Describes the difference between two states of a catalogue entry, with one line for each value of a field. */

/** Returns lines such as `- price.promptPerMillionTokens 2` and `+ price.promptPerMillionTokens 3`. */
export function describeEntryDifference (before: object | undefined, after: object): readonly string[] {
  const fieldsBefore = flatten(before ?? {})
  const fieldsAfter = flatten(after)
  const keys = [...new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()])].sort()
  return keys.filter(key => fieldsBefore.get(key) !== fieldsAfter.get(key)).flatMap(key => [
    ...(fieldsBefore.has(key) ? [`- ${key} ${fieldsBefore.get(key)}`] : []),
    ...(fieldsAfter.has(key) ? [`+ ${key} ${fieldsAfter.get(key)}`] : [])
  ])
}

/** Returns the fields as JSON texts by path, such as `price.promptPerMillionTokens`. */
function flatten (value: object, prefix = ''): Map<string, string> {
  const fields = new Map<string, string>()
  for (const [key, field] of Object.entries(value)) {
    const isNested = typeof field === 'object' && field !== null && !Array.isArray(field)
    if (isNested) flatten(field as object, `${prefix}${key}.`).forEach((text, path) => fields.set(path, text))
    else fields.set(`${prefix}${key}`, JSON.stringify(field))
  }
  return fields
}
