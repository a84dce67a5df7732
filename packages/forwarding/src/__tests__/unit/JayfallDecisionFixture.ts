/** Fixtures for tests of decisions that use no network. */

import { ColdServers, LongWorkLanes, WorkOrders, ZoneEvacuations, ZoneSpill } from '#jayfall/capacity'
import { NoRumors, type RumorChannel } from '#jayfall/peers'
import { ManualClock, RandomSource } from '#jayfall/shared'
import { Metrics, type Log } from '#jayfall/telemetry'

import { BackendDirectory } from '../../JayfallBackendDirectory'
import { EstimatedTimeSelector } from '../../JayfallBackendSelector'
import { type BackendServer, type ForwardingRoute } from '../../JayfallForwardingCatalogue'
import { type CallerFields } from '../../JayfallForwardingProtocol'
import { PromptCacheTracker } from '../../JayfallPromptCacheTracker'
import { PrefillTimes } from '../../JayfallPrefillTimes'
import { PromptSuspicions } from '../../JayfallPromptSuspicions'
import { type RequestIdentity } from '../../JayfallRequestIdentity'
import { RetryBudget } from '../../JayfallRetryBudget'
import { ServerLimits } from '../../JayfallServerLimits'
import { VersionPolicy } from '../../JayfallVersionPolicy'
import { NO_PROGRESS, type PlanContext } from '../../JayfallAttemptPlan'
import { RelayTargets } from '../../JayfallRelayTargets'
import { ServiceReach } from '../../JayfallServiceReach'

export const SERVICE = 'guide'

export function fakeServer (id: string, overrides: Partial<BackendServer> = {}): BackendServer {
  return { id, service: SERVICE, address: '127.0.0.1:1', zone: 'valdivia', version: 'v1', slots: 8, isDraining: false, ...overrides }
}

export function fakeRoute (overrides: Partial<ForwardingRoute> = {}): ForwardingRoute {
  return {
    name: 'route',
    host: 'host',
    prefix: '/',
    targets: [{ service: SERVICE, weight: 1 }],
    isStream: false,
    isRepeatable: true,
    maximumAttempts: 3,
    timeout: 5000,
    objective: 300,
    eventGapObjective: 300,
    priority: 0,
    models: [],
    isPublic: false,
    ...overrides
  }
}

export function fakeFields (overrides: Partial<CallerFields> = {}): CallerFields {
  return { requestId: 'r', patience: 5000, key: undefined, lastEventId: undefined, session: undefined, model: undefined, promptTokens: 0, maximumOutputTokens: 0, promptParts: [], ...overrides }
}

export function identityOf ({ requestId, promptParts }: CallerFields): RequestIdentity {
  return { fingerprint: `request:${requestId}`, promptParts }
}

const ignoreLine = (): void => {}
export const SILENT_LOG: Log = { debug: ignoreLine, info: ignoreLine, warn: ignoreLine, error: ignoreLine }

export function createSuspicions (clock: ManualClock, rumors: RumorChannel = new NoRumors()): PromptSuspicions {
  return new PromptSuspicions({ clock, log: SILENT_LOG, metrics: new Metrics(), rumors })
}

export function createColdServers (clock: ManualClock, directory: BackendDirectory): ColdServers {
  return new ColdServers({ clock, log: SILENT_LOG, metrics: new Metrics(), isRegistered: server => directory.get(server) !== undefined, storeTime: () => clock.monotonic(), instance: 'entry', instances: () => ['entry'] })
}

/** The components that decide on one request, with a clock that the test sets. */
export class DecisionFixture {
  readonly clock = new ManualClock(1000)
  readonly directory = new BackendDirectory('valdivia')
  readonly promptCache = new PromptCacheTracker()
  readonly prefillTimes = new PrefillTimes()
  readonly limits = new ServerLimits({ clock: this.clock, random: new RandomSource(1), log: SILENT_LOG, rumors: new NoRumors(), storeTime: () => this.clock.monotonic(), instance: 'entry', instances: () => ['entry'] })
  readonly coldServers = createColdServers(this.clock, this.directory)
  readonly evacuations = new ZoneEvacuations(SILENT_LOG, () => {})
  readonly workOrders = new WorkOrders()
  readonly zoneSpill = new ZoneSpill('valdivia')
  readonly lanes = new LongWorkLanes('valdivia')
  readonly selector = new EstimatedTimeSelector(this.directory, this.promptCache, this.prefillTimes, 'valdivia', { limits: this.limits, coldServers: this.coldServers, evacuations: this.evacuations, workOrders: this.workOrders, zoneSpill: this.zoneSpill, lanes: this.lanes })
  readonly retryBudget = new RetryBudget(0.9)
  readonly versionPolicy = new VersionPolicy({ sessionGap: 5000, exposureShare: 0.15 }, () => this.clock.monotonic())
  readonly promptSuspicions = createSuspicions(this.clock)
  readonly reach = new ServiceReach()
  readonly relays = new RelayTargets('entry', 'valdivia')
  lastDeliveredEventId: string | undefined

  constructor (servers: readonly BackendServer[]) {
    for (const server of servers) this.directory.set(server, this.clock.monotonic())
  }

  context (route: ForwardingRoute, fields: CallerFields = fakeFields()): PlanContext {
    const now = this.clock.monotonic()
    return {
      route,
      service: SERVICE,
      session: 'session',
      isSharedSession: true,
      fields,
      identity: identityOf(fields),
      arrivedAt: now,
      deadline: now + 5000,
      priority: route.priority,
      isExcess: false,
      clock: this.clock,
      selector: this.selector,
      workOrders: this.workOrders,
      retryBudget: this.retryBudget,
      versionPolicy: this.versionPolicy,
      promptSuspicions: this.promptSuspicions,
      reach: this.reach,
      relays: this.relays,
      relayedFrom: undefined,
      start: NO_PROGRESS,
      lastDeliveredEventId: () => this.lastDeliveredEventId
    }
  }
}
