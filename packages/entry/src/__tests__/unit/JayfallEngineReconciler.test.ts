/** Tests of the orders that the lease holder sends to engines. */

import assert from 'node:assert/strict'
import { type IncomingMessage } from 'node:http'
import { describe, it } from 'node:test'

import { entryKey, InstalledCatalogue, parseEntry } from '#jayfall/catalogue'
import { PlatformError, type Lease } from '#jayfall/store'
import { ManualClock } from '#jayfall/shared'
import { createLog } from '#jayfall/telemetry'

import { type BackendCall } from '../../JayfallBackendClient'
import { EngineReconciler } from '../../JayfallEngineReconciler'

const ENGINES = ['checking', 'ignoring'] as const

/** Creates engines that store their last order, and a reconciler whose lease the test controls. `weightWrites` limits the loads of model weights. */
function createSystem (weightWrites: number) {
  const clock = new ManualClock(0)
  const lease = { held: true, fencing: 1 }
  const states = new Map<string, { versions: readonly string[], role: string }>(ENGINES.map(id => [id, { versions: [], role: 'serving' }]))
  const orders: string[] = []
  const budget = { left: weightWrites }
  const catalogue = new InstalledCatalogue()
  const version = { kind: 'version', id: 'guide-1', model: 'guide', version: '1', owner: 'test', class: 'short', limits: { maximumPromptTokens: 1, maximumOutputTokens: 1, concurrentRequests: 1 }, price: { promptPerMillionTokens: 1, outputPerMillionTokens: 1 }, quality: 1, contextLength: 2, state: 'in-service', trafficShare: 100, whenCutOff: 'continue' }
  const service = { kind: 'service', id: 'scribes', owner: 'test', type: 'engine', versions: ['guide-1'], calls: [] }
  const servers = ENGINES.map((id, index) => ({ kind: 'server', id, zone: 'osorno', address: `127.0.0.1:${index + 1}`, service: 'scribes', checksFencing: id === 'checking', leaving: false }))
  catalogue.installSnapshot({ revision: 1, entries: [version, service, ...servers].map(parseEntry).sort((left, right) => entryKey(left) < entryKey(right) ? -1 : 1).map(entry => ({ revision: 1, entry })) })
  const runner = new EngineReconciler({
    lease: { maintain: async () => lease.held, fencingFor: () => lease.held ? lease.fencing : undefined } as unknown as Lease,
    services: {
      putWeight: async () => {
        budget.left--
        if (budget.left < 0) throw new PlatformError('rate_limited', 'above the rate')
      }
    },
    catalogue,
    clock,
    log: createLog('silent'),
    backend: {
      send: async ({ method, address, payload }: BackendCall) => {
        const id = ENGINES[Number(address.split(':')[1]) - 1]
        if (method === 'POST') {
          orders.push(id)
          states.set(id, JSON.parse(String(payload)).wanted)
        }
        return { resume () {}, id } as unknown as IncomingMessage
      },
      read: async response => Buffer.from(JSON.stringify(states.get((response as unknown as { id: string }).id)))
    }
  })
  return { clock, lease, states, orders, budget, runner }
}

describe('EngineReconciler', () => {
  // Guards against an order of a previous lease holder that arrives after the order of the new holder.
  it('waits one order timeout before it sends orders to engines that ignore fencing (guards against reordered orders)', async () => {
    const { clock, orders, runner, states, lease } = createSystem(10)
    await runner.run()
    assert.deepEqual(orders, ['checking'])
    clock.advance(10_000)
    await runner.run()
    assert.deepEqual(orders, ['checking', 'ignoring'])
    lease.fencing = 3
    states.set('ignoring', { versions: [], role: 'serving' })
    await runner.run()
    assert.equal(orders.length, 2)
  })

  // Guards against an engine that keeps the state of a late order of a previous lease holder.
  it('orders the wanted state again when an engine has another state (guards against a late order that stays in effect)', async () => {
    const { clock, orders, runner, states } = createSystem(10)
    await runner.run()
    clock.advance(10_000)
    await runner.run()
    states.set('ignoring', { versions: ['old'], role: 'serving' })
    await runner.run()
    assert.deepEqual(orders, ['checking', 'ignoring', 'ignoring'])
    assert.deepEqual(states.get('ignoring')?.versions, ['guide-1'])
  })

  // Guards against loads of model weights above the rate limit of the weight store.
  it('sends no order while the weight store refuses loads (guards against loads above its rate limit)', async () => {
    const { clock, orders, runner, budget } = createSystem(0)
    await runner.run()
    assert.deepEqual(orders, [])
    budget.left = 1
    clock.advance(10_000)
    await runner.run()
    assert.deepEqual(orders, ['checking'])
  })

  // Guards against two instances that send orders at the same time.
  it('sends no orders without the lease (guards against orders of several instances)', async () => {
    const { lease, orders, runner } = createSystem(10)
    lease.held = false
    await runner.run()
    assert.deepEqual(orders, [])
  })
})
