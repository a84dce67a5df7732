/** Estimates of how long engines read prompts; no network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { FIRST_EVENT_MILLISECONDS } from '../../JayfallForwardingConstants'
import { ReadingTimes } from '../../JayfallReadingTimes'

const TOKENS = 10_000
/** Milliseconds for one token of a model that is five times as slow as the first guess. */
const TOKEN_TIME = 0.044

describe('ReadingTimes', () => {
  it('knows a slow model after a few prompts (guards against long prompts that block a server which was thought free)', () => {
    const times = new ReadingTimes()
    for (let count = 0; count < 4; count++) times.noteFirstEvent('large', TOKENS, FIRST_EVENT_MILLISECONDS + TOKENS * TOKEN_TIME)
    const estimate = times.estimate('large', TOKENS)
    assert.ok(Math.abs(estimate - TOKENS * TOKEN_TIME) < TOKENS * TOKEN_TIME * 0.1, String(estimate))
  })

  it('does not take waiting for reading (guards against servers that seem slow after a crest)', () => {
    const times = new ReadingTimes()
    const waits = [3000, 0, 0, 1500, 0, 800, 0, 0, 2500, 0, 0, 0]
    for (const wait of waits) times.noteFirstEvent('large', TOKENS, FIRST_EVENT_MILLISECONDS + TOKENS * TOKEN_TIME + wait)
    assert.ok(times.estimate('large', TOKENS) < TOKENS * TOKEN_TIME * 1.1)
  })

  it('keeps the models apart', () => {
    const times = new ReadingTimes()
    times.noteFirstEvent('large', TOKENS, FIRST_EVENT_MILLISECONDS + TOKENS * TOKEN_TIME)
    assert.ok(times.estimate('small', TOKENS) < times.estimate('large', TOKENS) / 3)
  })
})
