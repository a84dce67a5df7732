import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import fc from 'fast-check'
import { EventQueue, ManualClock } from '#jayfall/shared'

import { FakeServer, type FakeServerSettings } from '../../JayfallFakeServer'

const SETTINGS: FakeServerSettings = { slots: 1, tokenInterval: 10, batchSlowdown: 0.5, promptTokenTime: 1, cacheBlocks: 10, blockTokens: 16 }

describe('EventQueue', () => {
  it('guards against a run that depends on the heap: events come by time, then by insertion', () => {
    fc.assert(fc.property(fc.array(fc.nat({ max: 20 })), times => {
      const queue = new EventQueue()
      const taken: Array<readonly [number, number]> = []
      times.forEach((at, index) => queue.push(at, () => taken.push([at, index])))
      for (let run = queue.shift(); run !== undefined; run = queue.shift()) run()
      assert.deepEqual(taken, times.map((at, index) => [at, index] as const).sort((left, right) => left[0] - right[0] || left[1] - right[1]))
    }))
  })
})

describe('FakeServer', () => {
  /** Submits streams at time 0 and returns when each finished. */
  const finishTimes = (settings: FakeServerSettings, streams: ReadonlyArray<{ readonly name: string, readonly priority?: number, readonly tokens: number, readonly blocks?: readonly string[] }>, slowFactor = 1) => {
    const clock = new ManualClock()
    const events = new EventQueue()
    const server = new FakeServer('server', settings, events, () => clock.monotonic())
    const times: Record<string, number> = {}
    server.slowDown(slowFactor)
    for (const { name, priority = 0, tokens, blocks = [] } of streams) {
      const onFinish = (): void => { times[name] = clock.monotonic() }
      server.submit({ priority, promptTokens: blocks.length * settings.blockTokens, outputTokens: tokens, prefixBlocks: blocks, onStart () {}, onFirstToken () {}, onFinish })
    }
    while (events.nextAt < Infinity) {
      clock.advanceTo(events.nextAt)
      events.shift()?.()
    }
    return times
  }

  it('guards against unfair baselines: streams of equal priority run in order of arrival', () => {
    assert.deepEqual(finishTimes(SETTINGS, [{ name: 'a', tokens: 2 }, { name: 'b', tokens: 3 }]), { a: 20, b: 50 })
  })

  it('guards against ignored priorities: the higher one takes the next free slot', () => {
    assert.deepEqual(finishTimes(SETTINGS, [{ name: 'a', tokens: 1 }, { name: 'b', tokens: 1 }, { name: 'c', tokens: 1, priority: 5 }]), { a: 10, c: 20, b: 30 })
  })

  it('guards against free batches: two streams slow each other', () => {
    assert.deepEqual(finishTimes({ ...SETTINGS, slots: 2 }, [{ name: 'a', tokens: 2 }, { name: 'b', tokens: 2 }]), { a: 30, b: 30 })
  })

  it('guards against slow moments without effect', () => {
    assert.deepEqual(finishTimes(SETTINGS, [{ name: 'a', tokens: 2 }], 8), { a: 160 })
  })

  it('guards against a cache that saves nothing: a cached prefix is not computed again', () => {
    const times = finishTimes(SETTINGS, [{ name: 'a', tokens: 1, blocks: ['x', 'y'] }, { name: 'b', tokens: 1, blocks: ['x', 'y'] }])
    assert.deepEqual(times, { a: 42, b: 52 })
  })
})
