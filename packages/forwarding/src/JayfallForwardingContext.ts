/** The objects that all requests of one instance share. */

import { type ColdServers, type WorkOrders, type WorkspaceShares } from '#jayfall/capacity'
import { type Clock } from '#jayfall/shared'
import { type Log, type Metrics } from '#jayfall/telemetry'

import { type BackendSelector } from './JayfallBackendSelector'
import { type BackendDirectory } from './JayfallBackendDirectory'
import { type ServerConnectionCheck } from './JayfallServerConnectionCheck'
import { type ForwardingProtocol } from './JayfallForwardingProtocol'
import { type HeldMemory } from './JayfallHeldMemory'
import { type LoadSharing } from './JayfallLoadSharing'
import { type PromptCacheTracker } from './JayfallPromptCacheTracker'
import { type PrefillHints } from './JayfallPrefillHints'
import { type PrefillTimes } from './JayfallPrefillTimes'
import { type PromptSuspicions } from './JayfallPromptSuspicions'
import { type ReachMonitor } from './JayfallReachMonitor'
import { type ReadPacer } from './JayfallReadPacer'
import { type RelayTargets } from './JayfallRelayTargets'
import { type RetryBudget } from './JayfallRetryBudget'
import { type RolloutEvidence } from './JayfallRolloutEvidence'
import { type ServerLimits } from './JayfallServerLimits'
import { type ServiceReach } from './JayfallServiceReach'
import { type VersionPolicy } from './JayfallVersionPolicy'

export interface ForwardingContext {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  readonly protocol: ForwardingProtocol
  readonly directory: BackendDirectory
  readonly promptCache: PromptCacheTracker
  readonly prefillTimes: PrefillTimes
  readonly hints: PrefillHints
  readonly limits: ServerLimits
  readonly coldServers: ColdServers
  readonly workOrders: WorkOrders
  readonly workspaceShares: WorkspaceShares
  readonly loadSharing: LoadSharing
  readonly promptSuspicions: PromptSuspicions
  readonly connectionCheck: ServerConnectionCheck
  readonly reach: ServiceReach
  readonly reachMonitor: ReachMonitor
  readonly relays: RelayTargets
  readonly memory: HeldMemory
  readonly pacer: ReadPacer
  /** This instance, as others name it. */
  readonly instance: string
  /** IP address from which this instance calls others; chosen by the operating system by default. */
  readonly relayHost: string | undefined
  readonly selector: BackendSelector
  readonly retryBudget: RetryBudget
  readonly versionPolicy: VersionPolicy
  readonly evidence: RolloutEvidence
}
