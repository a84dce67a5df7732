/** Tests of what cold servers get: at one instance, and from many instances that all find the same server free. */

import * as assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { ManualClock, RandomSource } from '#jayfall/shared'
import { Metrics, type Log } from '#jayfall/telemetry'

import { ColdServers } from '../../JayfallColdServers'

const POLICY = { duration: 3000, requestsPerSecond: 14 }
/** What a cold server of that rate may get in any second: half as many again, and five more. */
const MOST_IN_A_SECOND = 26
const ignoreLine = (): void => {}
const SILENT_LOG: Log = { debug: ignoreLine, info: ignoreLine, warn: ignoreLine, error: ignoreLine }

function createColdServers (clock: ManualClock, options: { readonly instance?: string, readonly instances?: readonly string[] | null, readonly clockError?: number, readonly registered?: ReadonlySet<string> } = {}): ColdServers {
  const { instance = 'entry-0', instances = [instance], clockError = 0, registered = new Set(['s1']) } = options
  const coldServers = new ColdServers({ clock, log: SILENT_LOG, metrics: new Metrics(), isRegistered: server => registered.has(server), storeTime: () => clock.monotonic() + clockError, instance, instances: () => instances ?? undefined })
  coldServers.setPolicies(new Map([['engines', POLICY]]))
  return coldServers
}

function sendAll (coldServers: ColdServers, server: string): number {
  for (let sent = 0; ; sent++) {
    if (!coldServers.maySend(server)) return sent
    coldServers.recordSent(server)
  }
}

describe('ColdServers', () => {
  let clock: ManualClock
  let registered: Set<string>
  let coldServers: ColdServers

  beforeEach(() => {
    clock = new ManualClock(100_000)
    registered = new Set(['s1'])
    coldServers = createColdServers(clock, { registered })
  })

  describe('at one instance', () => {
    it('limit a server as long as it says that it is cold', () => {
      coldServers.recordReport('s1', 'engines', 3000)
      assert.ok(sendAll(coldServers, 's1') <= 4)
      clock.advance(3000)
      assert.equal(coldServers.isCold('s1'), false)
    })

    it('limit no server of a service that is never cold', () => {
      coldServers.recordReport('s1', 'orders', 3000)
      coldServers.presume('s1', 'orders', 'evacuation_ended')
      assert.equal(coldServers.isCold('s1'), false)
    })

    it('limit a server whose report came before the policy of its service (guards against instances that start and read the servers before the configuration)', () => {
      coldServers.setPolicies(new Map())
      coldServers.recordReport('s1', 'engines', 3000)
      assert.equal(coldServers.isCold('s1'), false)
      coldServers.setPolicies(new Map([['engines', POLICY]]))
      assert.ok(coldServers.isCold('s1'))
    })

    it('keep nothing of a server that is not registered any more (guards against memory that grows with each server that leaves during a request)', () => {
      registered.delete('s1')
      coldServers.recordUnreached('s1', 'engines')
      coldServers.recordReport('s1', 'engines', 3000)
      registered.add('s1')
      assert.equal(coldServers.isCold('s1'), false)
    })

    it('take a cold time that is vast for a minute at most (guards against entries that keep work away for good)', () => {
      coldServers.recordReport('s1', 'engines', Number.MAX_VALUE)
      clock.advance(60_000)
      assert.equal(coldServers.isCold('s1'), false)
    })

    it('presume a server cold from the moment at which it is reached again (guards against restarts that its entry says late)', () => {
      coldServers.recordUnreached('s1', 'engines')
      clock.advance(10_000)
      assert.ok(coldServers.isCold('s1'))
      coldServers.recordReached('s1')
      clock.advance(2999)
      assert.ok(coldServers.isCold('s1'))
      clock.advance(1)
      assert.equal(coldServers.isCold('s1'), false)
    })

    it('presume a server cold until it is reached, also when the evacuation of its zone ends before (guards against work for a server that starts during that time)', () => {
      coldServers.recordUnreached('s1', 'engines')
      coldServers.presume('s1', 'engines', 'evacuation_ended')
      clock.advance(10_000)
      assert.ok(coldServers.isCold('s1'))
    })

    it('keep the presumption when an older entry says that the server is not cold (guards against entries written before an evacuation ended)', () => {
      coldServers.presume('s1', 'engines', 'evacuation_ended')
      coldServers.recordReport('s1', 'engines', 0)
      assert.ok(coldServers.isCold('s1'))
    })

    // Without the others, an instance that has just started would take the whole rate for itself.
    it('send nothing as long as the list of instances is unknown', () => {
      const started = createColdServers(clock, { instances: null })
      started.recordReport('s1', 'engines', 3000)
      assert.equal(started.maySend('s1'), false)
    })
  })

  describe('over many instances that all prefer the same cold server', () => {
    const SECONDS = 20

    /** Plays instances that send whenever they may, and returns the most requests in any second and the mean rate. */
    function play (lists: readonly (readonly string[] | null)[]): { readonly most: number, readonly mean: number } {
      const random = new RandomSource(1)
      const fleet = lists.map((instances, index) => createColdServers(clock, { instance: `entry-${index}`, instances, clockError: random.uniform() * 20 }))
      const arrivals: number[] = []
      for (let time = 0; time < SECONDS * 1000; time += 5, clock.advance(5)) {
        for (const instance of fleet) {
          instance.recordReport('s1', 'engines', 3000)
          // Requests are on their way for up to 40 ms.
          for (let count = sendAll(instance, 's1'); count > 0; count--) arrivals.push(time + random.uniform() * 40)
        }
      }
      const most = Math.max(...arrivals.map(start => arrivals.filter(at => at >= start && at < start + 1000).length))
      return { most, mean: arrivals.length / SECONDS }
    }

    function idsOf (count: number): readonly string[] {
      return Array.from({ length: count }, (_, index) => `entry-${index}`)
    }

    for (const count of [9, 73, 195]) {
      it(`give it no more than it can handle at ${count} instances, and use the rate (guards against all instances going to the servers that have just come back)`, () => {
        const { most, mean } = play(idsOf(count).map(() => idsOf(count)))
        assert.ok(most <= MOST_IN_A_SECOND, `${most} in a second`)
        assert.ok(mean >= POLICY.requestsPerSecond * 0.9, `${mean} a second`)
      })
    }

    it('give it no more than it can handle when half of the instances have just started and do not know the others', () => {
      const { most } = play(idsOf(74).map((_, index) => index % 2 === 0 ? idsOf(74) : null))
      assert.ok(most <= MOST_IN_A_SECOND, `${most} in a second`)
    })

    it('give it no more than it can handle when a part of the instances is not in the lists of the others yet', () => {
      const { most } = play(idsOf(73).map((_, index) => index < 60 ? idsOf(60) : idsOf(73)))
      assert.ok(most <= MOST_IN_A_SECOND, `${most} in a second`)
    })
  })
})
