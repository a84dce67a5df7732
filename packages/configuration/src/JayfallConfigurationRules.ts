/**
 * The interface of rules, and what they share.
 *
 * A rule looks at a decoded configuration and yields findings. It has neither network nor file access.
 */

import { type CheckedConfiguration, type FieldPath, type InstanceLimits } from './JayfallConfigurationFormat'
import { type Finding, type FindingKind, type FindingSeverity } from './JayfallFindingReport'

/** What rules know. */
export interface RuleContext {
  readonly configuration: CheckedConfiguration
  readonly instanceLimits: InstanceLimits
  /** Returns the path of a decoded field as operators write it. */
  readonly describePath: (path: FieldPath) => string
}

export abstract class ConfigurationRules {
  abstract find (context: RuleContext): Generator<Finding>

  protected finding (context: RuleContext, severity: FindingSeverity, kind: FindingKind, path: FieldPath, message: string): Finding {
    return { severity, kind, path: context.describePath(path), message }
  }

  /** Yields the entries that have the same identity as an earlier one, with the positions of the first and of the one before it. */
  protected * repetitions<Entry> (entries: readonly Entry[], identityOf: (entry: Entry) => string): Generator<{ readonly first: number, readonly previous: number, readonly index: number }> {
    const known = new Map<string, { readonly first: number, readonly previous: number }>()
    for (const [index, entry] of entries.entries()) {
      const identity = identityOf(entry)
      const earlier = known.get(identity)
      if (earlier !== undefined) yield { ...earlier, index }
      known.set(identity, { first: earlier?.first ?? index, previous: index })
    }
  }
}
