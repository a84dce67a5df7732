/** Compares the entries of two versions of a configuration. Entries belong together by section and name. */

import { type ConfigurationEntry } from './JayfallConfigurationFormat'
import { compareFields } from './JayfallFieldDifference'
import { quote } from './JayfallFindingReport'

export interface EntryDifference {
  readonly change: 'added' | 'removed' | 'changed'
  /** Path of the entry or field: in the new version, or in the old one when the entry was removed. */
  readonly path: string
  readonly name: string
  /** Value in the old version; absent when there was none. */
  readonly before?: unknown
  /** Value in the new version; absent when there is none. */
  readonly after?: unknown
}

export function * compareEntries (before: readonly ConfigurationEntry[], after: readonly ConfigurationEntry[]): Generator<EntryDifference> {
  const entriesBefore = new Map(withIdentity(before))
  const entriesAfter = new Map(withIdentity(after))
  for (const [identity, entry] of entriesBefore) {
    if (!entriesAfter.has(identity)) yield { change: 'removed', path: entry.path, name: entry.name, before: visibleFields(entry) }
  }
  for (const [identity, entry] of entriesAfter) {
    const earlier = entriesBefore.get(identity)
    if (earlier === undefined) yield { change: 'added', path: entry.path, name: entry.name, after: visibleFields(entry) }
    else yield * compareEntry(earlier, entry)
  }
}

/** Returns a line such as `changed routes[0].timeout-ms ("guide"): 3000 -> 5000`. */
export function describeDifference ({ change, path, name, before, after }: EntryDifference): string {
  const label = `${change.padEnd('removed'.length)} ${path}${name === '' ? '' : ` (${quote(name)})`}`
  return change === 'changed' ? `${label}: ${describeValue(before)} -> ${describeValue(after)}` : `${label}: ${describeValue(after ?? before)}`
}

function * compareEntry (before: ConfigurationEntry, after: ConfigurationEntry): Generator<EntryDifference> {
  const { path, name } = after
  for (const { field, ...values } of compareFields(before.fields, after.fields)) yield { change: 'changed', path: `${path}.${field}`, name, ...values }
  for (const field of new Set([...Object.keys(before.secrets), ...Object.keys(after.secrets)])) {
    const [old, current] = [before.secrets[field] ?? [], after.secrets[field] ?? []].map(values => new Set(values))
    const added = [...current].filter(value => !old.has(value)).length
    const removed = [...old].filter(value => !current.has(value)).length
    if (added + removed > 0) yield { change: 'changed', path: `${path}.${field}`, name, before: hide(old), after: `${hide(current)} (${added} added, ${removed} removed)` }
  }
}

/** Yields entries with their identity. Repeated names are told apart by the number of their occurrence. */
function * withIdentity (entries: readonly ConfigurationEntry[]): Generator<readonly [string, ConfigurationEntry]> {
  const occurrences = new Map<string, number>()
  for (const entry of entries) {
    const label = JSON.stringify([entry.section, entry.name])
    const occurrence = (occurrences.get(label) ?? 0) + 1
    occurrences.set(label, occurrence)
    yield [`${label} ${occurrence}`, entry]
  }
}

function visibleFields ({ fields, secrets }: ConfigurationEntry): Readonly<Record<string, unknown>> {
  return { ...fields, ...Object.fromEntries(Object.entries(secrets).map(([field, values]) => [field, hide(new Set(values))])) }
}

function hide (values: ReadonlySet<string>): string {
  return `${values.size} hidden value${values.size === 1 ? '' : 's'}`
}

function describeValue (value: unknown): string {
  return value === undefined ? 'not set' : quote(value)
}
