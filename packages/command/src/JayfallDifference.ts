/** The difference between two versions of an entry, one line a field. */

/** Lines such as `- price.promptPerMillionTokens 2` and `+ price.promptPerMillionTokens 3`. */
export function describeDifference (before: object | undefined, after: object): readonly string[] {
  const old = flatten(before ?? {})
  const changed = flatten(after)
  const keys = [...new Set([...old.keys(), ...changed.keys()])].sort()
  return keys.filter(key => old.get(key) !== changed.get(key)).flatMap(key => [
    ...(old.has(key) ? [`- ${key} ${old.get(key)}`] : []),
    ...(changed.has(key) ? [`+ ${key} ${changed.get(key)}`] : [])
  ])
}

function flatten (value: object, prefix = ''): Map<string, string> {
  const fields = new Map<string, string>()
  for (const [key, field] of Object.entries(value)) {
    const isNested = typeof field === 'object' && field !== null && !Array.isArray(field)
    if (isNested) flatten(field as object, `${prefix}${key}.`).forEach((text, path) => fields.set(path, text))
    else fields.set(`${prefix}${key}`, JSON.stringify(field))
  }
  return fields
}
