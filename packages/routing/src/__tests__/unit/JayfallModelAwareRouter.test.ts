import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import fc from 'fast-check'
import { MAXIMUM_ATTEMPTS, ModelAwareRouter, type AttemptFailure, type RoutedRequest, type RoutedServer, type RoutingDecision } from '#jayfall/routing'
import { createRandomSource, ManualClock } from '#jayfall/shared'

const SERVERS: readonly RoutedServer[] = ['a', 'b', 'c', 'd'].map(id => ({ id, zone: 'zone', service: 'engines', versions: ['guide-1'], leaving: false }))

function createRequest (id: string, now: number, changes: Partial<RoutedRequest> = {}): RoutedRequest {
  return {
    id,
    workspace: 'w',
    target: { kind: 'version', id: 'guide-1' },
    workClass: 'standard',
    promptTokens: 100,
    maximumOutputTokens: 512,
    arrivedAt: now,
    deadline: now + 5000,
    repeatable: true,
    prefixBlocks: [],
    ...changes
  }
}

function createRouter (seed = 1): { readonly router: ModelAwareRouter, readonly clock: ManualClock } {
  const clock = new ManualClock(1000)
  const router = new ModelAwareRouter({ clock, random: createRandomSource(seed) })
  router.updateServers(SERVERS)
  return { router, clock }
}

/** One request as the data path sees it. */
interface FollowedRequest {
  readonly request: RoutedRequest
  readonly open: Set<number>
  readonly dispatches: Array<Extract<RoutingDecision, { kind: 'dispatch' }>>
  /** Number of failures that may not be repeated. */
  finalFailures: number
  retryableFailures: number
  readonly ends: string[]
}

type Step =
  | { readonly kind: 'submit', readonly workspace: string, readonly repeatable: boolean, readonly size: number, readonly deadline: number }
  | { readonly kind: 'first-token' | 'finished' | 'abandoned', readonly pick: number }
  | { readonly kind: 'failed', readonly pick: number, readonly failure: AttemptFailure, readonly retryable: boolean }
  | { readonly kind: 'wait', readonly milliseconds: number }
  | { readonly kind: 'leave', readonly server: number }

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('submit' as const), workspace: fc.constantFrom('u', 'v', 'w'), repeatable: fc.boolean(), size: fc.integer({ min: 1, max: 2000 }), deadline: fc.integer({ min: 1, max: 5000 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('first-token' as const, 'finished' as const, 'finished' as const, 'abandoned' as const), pick: fc.nat() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('failed' as const), pick: fc.nat(), failure: fc.constantFrom<AttemptFailure>('unsent', 'refused', 'broken', 'silent'), retryable: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.integer({ min: 1, max: 3000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), server: fc.nat({ max: 3 }) }) }
)

/** Drives a router as the data path does and records its decisions. */
class Driver {
  readonly followed = new Map<string, FollowedRequest>()
  private readonly clock: ManualClock
  private readonly router: ModelAwareRouter
  private leaving: ReadonlySet<string> = new Set()

  constructor (seed: number) {
    ({ router: this.router, clock: this.clock } = createRouter(seed))
  }

  run (steps: readonly Step[]): void {
    for (const step of steps) this.applyStep(step)
    // All running requests end, and time passes every deadline.
    for (let round = 0; round < 500 && this.router.openRequests > 0; round++) {
      for (const request of this.running()) this.end(request, 'finished')
      this.wait(50)
    }
    assert.equal(this.router.openRequests, 0, 'the router keeps no request')
  }

  private applyStep (step: Step): void {
    if (step.kind === 'wait') return this.wait(step.milliseconds)
    if (step.kind === 'submit') return this.submit(step)
    if (step.kind === 'leave') {
      this.leaving = new Set([...this.leaving, SERVERS[step.server].id].slice(-2))
      return this.router.updateServers(SERVERS.map(server => ({ ...server, leaving: this.leaving.has(server.id) })))
    }
    const running = this.running()
    if (running.length === 0) return
    const request = running[step.pick % running.length]
    if (step.kind === 'abandoned' || step.kind === 'finished') return this.end(request, step.kind)
    const [attempt] = request.open
    const requestId = request.request.id
    if (step.kind !== 'failed') return this.carryOut(this.router.observe({ kind: 'first-token', requestId, attempt }))
    request.open.delete(attempt)
    if (step.retryable) request.retryableFailures++
    else request.finalFailures++
    this.carryOut(this.router.observe({ kind: 'failed', requestId, attempt, failure: step.failure, retryable: step.retryable }))
  }

  private submit ({ workspace, repeatable, size, deadline }: Extract<Step, { kind: 'submit' }>): void {
    const now = this.clock.monotonic()
    const request = createRequest(`r${this.followed.size}`, now, { workspace, repeatable, maximumOutputTokens: size, deadline: now + deadline })
    this.followed.set(request.id, { request, open: new Set(), dispatches: [], finalFailures: 0, retryableFailures: 0, ends: [] })
    this.carryOut(this.router.submit(request))
  }

  private end (request: FollowedRequest, kind: 'finished' | 'abandoned'): void {
    const [attempt] = request.open
    const requestId = request.request.id
    request.ends.push(kind)
    request.open.clear()
    this.carryOut(this.router.observe(kind === 'abandoned' ? { kind, requestId } : { kind, requestId, attempt, outputTokens: 20 }))
  }

  private wait (milliseconds: number): void {
    this.clock.advance(milliseconds)
    this.carryOut(this.router.tick())
  }

  private running (): readonly FollowedRequest[] {
    return [...this.followed.values()].filter(({ open }) => open.size > 0)
  }

  private carryOut (decisions: readonly RoutingDecision[]): void {
    for (const decision of decisions) {
      const request = this.followed.get(decision.requestId) as FollowedRequest
      if (decision.kind === 'cancel') {
        request.open.delete(decision.attempt)
        continue
      }
      assert.equal(request.ends.length, 0, 'nothing is decided about an ended request')
      if (decision.kind === 'refuse') {
        assert.equal(request.open.size, 0, 'a request with an open attempt is not refused')
        assert.ok(decision.retryAfter > 0)
        request.ends.push('refused')
        continue
      }
      assert.ok(!this.leaving.has(decision.server), 'leaving servers get no new work')
      assert.ok(!request.dispatches.some(({ server }) => server === decision.server), 'a server is tried once')
      request.dispatches.push(decision)
      request.open.add(decision.attempt)
    }
  }
}

describe('ModelAwareRouter', () => {
  describe('for any sequence of events', () => {
    const checkEveryRequest = (check: (request: FollowedRequest) => void): void => {
      fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 120 }), fc.nat(), (steps, seed) => {
        const driver = new Driver(seed)
        driver.run(steps)
        driver.followed.forEach(check)
      }), { numRuns: 150 })
    }

    // Guards against requests that are lost or that end twice.
    it('ends each request in exactly one way', () => {
      checkEveryRequest(({ ends }) => assert.equal(ends.length, 1))
    })

    // Guards against endless repetition of a request.
    it('sends no more attempts than allowed, numbered in order', () => {
      checkEveryRequest(({ dispatches }) => {
        assert.ok(dispatches.length <= MAXIMUM_ATTEMPTS)
        dispatches.forEach(({ attempt }, index) => assert.equal(attempt, index + 1))
      })
    })

    // Guards against double execution.
    it('sends no hedge of a request that may not be repeated, and no retry after a final failure', () => {
      checkEveryRequest(({ request, dispatches, finalFailures, retryableFailures, ends }) => {
        if (request.repeatable) return
        assert.ok(dispatches.every(({ reason }) => reason !== 'hedge'))
        assert.equal(dispatches.filter(({ reason }) => reason === 'retry').length <= retryableFailures, true)
        if (finalFailures > 0) assert.deepEqual(ends, ['refused'])
      })
    })
  })

  describe('retries', () => {
    const decisionsAfterFailure = (retryable: boolean): readonly RoutingDecision[] => {
      const { router } = createRouter()
      router.submit(createRequest('r', 1000, { repeatable: false }))
      return router.observe({ kind: 'failed', requestId: 'r', attempt: 1, failure: 'unsent', retryable })
    }

    // Guards against a lost request.
    it('sends a request to another server when it provably was not sent', () => {
      assert.deepEqual(decisionsAfterFailure(true).map(({ kind }) => kind), ['dispatch'])
    })

    // Guards against a second execution.
    it('refuses a request after a failure that may not be repeated', () => {
      assert.deepEqual(decisionsAfterFailure(false).map(({ kind }) => kind), ['refuse'])
    })

    // Guards against retry storms.
    it('stops retries by the budget when nothing succeeds', () => {
      const { router, clock } = createRouter()
      let retries = 0
      for (let index = 0; index < 200; index++) {
        clock.advance(200)
        let decisions = router.submit(createRequest(`r${index}`, clock.monotonic()))
        for (let dispatch = decisions[0]; dispatch?.kind === 'dispatch'; dispatch = decisions[0]) {
          if (dispatch.reason === 'retry') retries++
          decisions = router.observe({ kind: 'failed', requestId: dispatch.requestId, attempt: dispatch.attempt, failure: 'broken', retryable: true })
        }
      }
      assert.ok(retries <= 10, `${retries} retries`)
    })
  })

  describe('sessions', () => {
    const dispatchedTo = (router: ModelAwareRouter, id: string, changes: Partial<RoutedRequest>): string | undefined => {
      const [decision] = router.submit(createRequest(id, 1000, changes))
      return decision.kind === 'dispatch' ? decision.server : undefined
    }

    // Guards against the loss of a cached prompt prefix.
    it('keeps a session at its server', () => {
      const { router } = createRouter()
      assert.equal(dispatchedTo(router, 'r', { sessionServer: 'c', promptTokens: 1000 }), 'c')
    })

    // Guards against new work on a leaving server.
    it('moves a session away from a leaving server', () => {
      const { router } = createRouter()
      router.updateServers(SERVERS.map(server => ({ ...server, leaving: server.id === 'c' })))
      assert.notEqual(dispatchedTo(router, 'r', { sessionServer: 'c', promptTokens: 1000 }), 'c')
    })

    // Guards against the overload of a single server.
    it('moves sessions away from a server with more load than the others', () => {
      const { router } = createRouter()
      for (const { id } of SERVERS) router.reportLoad(id, { active: id === 'c' ? 16 : 4, slots: 16, queuedTokens: 0, receivedAt: 1000 })
      assert.notEqual(dispatchedTo(router, 'r', { sessionServer: 'c', promptTokens: 1000 }), 'c')
    })
  })

  describe('admission', () => {
    // Guards against exceeded limits.
    it('refuses a workspace above its share and says when to try again', () => {
      const { router, clock } = createRouter()
      router.updateShares([{ workspace: 'w', requestsPerSecond: 2, tokensPerSecond: 1e6, concurrentRequests: 100 }])
      const kinds = ['a', 'b', 'c'].map(id => router.submit(createRequest(id, 1000))[0])
      assert.deepEqual(kinds.map(({ kind }) => kind), ['dispatch', 'dispatch', 'refuse'])
      const refusal = kinds[2]
      assert.ok(refusal.kind === 'refuse' && refusal.code === 'limit_exceeded')
      clock.advance(refusal.retryAfter)
      assert.equal(router.submit(createRequest('d', clock.monotonic()))[0].kind, 'dispatch')
    })

    // Guards against a wait that cannot succeed.
    it('refuses a request with a passed deadline at once', () => {
      const { router } = createRouter()
      const [decision] = router.submit(createRequest('r', 1000, { deadline: 1000 }))
      assert.ok(decision.kind === 'refuse' && decision.code === 'deadline_passed')
    })

    // Guards against a request that waits although no server can take it.
    it('refuses a request at once when it has no server', () => {
      const { router } = createRouter()
      const [decision] = router.submit(createRequest('r', 1000, { target: { kind: 'version', id: 'other' } }))
      assert.ok(decision.kind === 'refuse' && decision.code === 'no_server')
    })
  })
})
