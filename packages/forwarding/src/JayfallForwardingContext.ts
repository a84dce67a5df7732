/** The parts that all requests of one instance share. */

import { type Clock } from '#jayfall/shared'
import { type Log, type Metrics } from '#jayfall/telemetry'

import { type BackendChoice } from './JayfallBackendChoice'
import { type BackendDirectory } from './JayfallBackendDirectory'
import { type ForwardingProtocol } from './JayfallForwardingProtocol'
import { type PromptHolders } from './JayfallPromptHolders'
import { type ReadingHints } from './JayfallReadingHints'
import { type ReadingTimes } from './JayfallReadingTimes'
import { type RetryBudget } from './JayfallRetryBudget'
import { type RolloutEvidence } from './JayfallRolloutEvidence'
import { type VersionPolicy } from './JayfallVersionPolicy'

export interface ForwardingContext {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  readonly protocol: ForwardingProtocol
  readonly directory: BackendDirectory
  readonly holders: PromptHolders
  readonly times: ReadingTimes
  readonly hints: ReadingHints
  readonly choice: BackendChoice
  readonly budget: RetryBudget
  readonly versions: VersionPolicy
  readonly evidence: RolloutEvidence
}
