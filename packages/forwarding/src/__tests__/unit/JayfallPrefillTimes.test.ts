/** Tests of the estimates of prefill time. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { FIRST_EVENT_OVERHEAD_MILLISECONDS } from '../../JayfallForwardingConstants'
import { PrefillTimes, type PrefillObservation } from '../../JayfallPrefillTimes'

const PROMPT_TOKENS = 10_000
/** Prefill time per token of a model that is five times as slow as the initial estimate. */
const PREFILL_MILLISECONDS_PER_TOKEN = 0.044

/** A long prompt whose prefill began after `queueMilliseconds`. */
function observePrefill (queueMilliseconds = 0): PrefillObservation {
  return { model: 'large', uncachedTokens: PROMPT_TOKENS, timeToFirstEvent: FIRST_EVENT_OVERHEAD_MILLISECONDS + PROMPT_TOKENS * PREFILL_MILLISECONDS_PER_TOKEN + queueMilliseconds }
}

describe('PrefillTimes', () => {
  // An estimate that adapts slowly makes a server with long prompts look idle for too long.
  it('estimates the speed of a slow model after a few prompts (guards against long prompts at servers that are wrongly taken for idle)', () => {
    const times = new PrefillTimes()
    for (let count = 0; count < 4; count++) times.recordFirstEvent(observePrefill(), 0)
    const estimate = times.estimate('large', PROMPT_TOKENS, 0)
    assert.ok(Math.abs(estimate - PROMPT_TOKENS * PREFILL_MILLISECONDS_PER_TOKEN) < PROMPT_TOKENS * PREFILL_MILLISECONDS_PER_TOKEN * 0.1, String(estimate))
  })

  // First events under load include the time that prompts waited.
  it('does not count queueing as prefill (guards against estimates that stay too high after a load peak)', () => {
    const times = new PrefillTimes()
    for (const queueMilliseconds of [3000, 0, 0, 1500, 0, 800, 0, 0, 2500, 0, 0, 0]) times.recordFirstEvent(observePrefill(queueMilliseconds), 0)
    assert.ok(times.estimate('large', PROMPT_TOKENS, 0) < PROMPT_TOKENS * PREFILL_MILLISECONDS_PER_TOKEN * 1.1)
  })

  // An estimate that is too high keeps requests away, and with them the observations that would correct it.
  it('lets an unconfirmed estimate decay (guards against a model that gets no more requests after a restart under load)', () => {
    const times = new PrefillTimes()
    for (let count = 0; count < 4; count++) times.recordFirstEvent(observePrefill(6000), 0)
    assert.ok(times.estimate('large', PROMPT_TOKENS, 0) > 5000)
    assert.ok(times.estimate('large', PROMPT_TOKENS, 30_000) < 1000)
  })

  it('keeps separate estimates for each model', () => {
    const times = new PrefillTimes()
    times.recordFirstEvent(observePrefill(), 0)
    assert.ok(times.estimate('small', PROMPT_TOKENS, 0) < times.estimate('large', PROMPT_TOKENS, 0) / 3)
  })
})
