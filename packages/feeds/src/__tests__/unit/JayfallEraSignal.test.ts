/** Tests of what an instance believes of the store's eras. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { EraSignal } from '../../JayfallEraSignal'

describe('EraSignal', () => {
  it('ends a pause when an era begins', async () => {
    const signal = new EraSignal()
    const pause = signal.pause(60_000)
    signal.raise(2)
    await pause
  })

  it('abandons work that belongs to the era before', async () => {
    const signal = new EraSignal()
    const work = signal.untilRaised(new Promise(() => {}))
    signal.raise(2)
    assert.equal(await work, undefined)
  })

  // An instance of another deployment at a reused address named an era that the store does not have, and every instance read all tables again and again.
  it('believes a refuted era only when the store names it (guards against one instance that keeps all others reading)', () => {
    const signal = new EraSignal()
    signal.raise(1)
    signal.raise(7)
    signal.refute(1)
    assert.deepEqual([signal.latest, signal.isNews(7), signal.isNews(2), signal.isNews(8)], [1, false, false, true])
    signal.raise(2)
    assert.equal(signal.latest, 2)
  })
})
