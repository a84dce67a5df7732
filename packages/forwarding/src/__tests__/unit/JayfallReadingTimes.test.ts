/** Estimates of how long engines read prompts; no network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { FIRST_EVENT_MILLISECONDS } from '../../JayfallForwardingConstants'
import { ReadingTimes, type ReadPrompt } from '../../JayfallReadingTimes'

const TOKENS = 10_000
/** Milliseconds for one token of a model that is five times as slow as the first guess. */
const TOKEN_TIME = 0.044

/** A long prompt that was read after `wait` milliseconds. */
function readPrompt (wait = 0): ReadPrompt {
  return { model: 'large', unreadTokens: TOKENS, firstEvent: FIRST_EVENT_MILLISECONDS + TOKENS * TOKEN_TIME + wait }
}

describe('ReadingTimes', () => {
  it('knows a slow model after a few prompts (guards against long prompts that block a server which was thought free)', () => {
    const times = new ReadingTimes()
    for (let count = 0; count < 4; count++) times.noteFirstEvent(readPrompt(), 0)
    const estimate = times.estimate('large', TOKENS, 0)
    assert.ok(Math.abs(estimate - TOKENS * TOKEN_TIME) < TOKENS * TOKEN_TIME * 0.1, String(estimate))
  })

  it('does not take waiting for reading (guards against servers that seem slow after a crest)', () => {
    const times = new ReadingTimes()
    for (const wait of [3000, 0, 0, 1500, 0, 800, 0, 0, 2500, 0, 0, 0]) times.noteFirstEvent(readPrompt(wait), 0)
    assert.ok(times.estimate('large', TOKENS, 0) < TOKENS * TOKEN_TIME * 1.1)
  })

  it('forgets an estimate that nothing confirms (guards against a model that is never asked again after a restart under load)', () => {
    const times = new ReadingTimes()
    for (let count = 0; count < 4; count++) times.noteFirstEvent(readPrompt(6000), 0)
    assert.ok(times.estimate('large', TOKENS, 0) > 5000)
    assert.ok(times.estimate('large', TOKENS, 30_000) < 1000)
  })

  it('keeps the models apart', () => {
    const times = new ReadingTimes()
    times.noteFirstEvent(readPrompt(), 0)
    assert.ok(times.estimate('small', TOKENS, 0) < times.estimate('large', TOKENS, 0) / 3)
  })
})
