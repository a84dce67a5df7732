/** The order in which engines take prompts, under a queue of long and short ones. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { engineUrgency } from '../../JayfallEngineUrgency'

const PROMPT = { reading: 10, rank: 2, isResumed: false }

describe('engineUrgency', () => {
  it('puts a short prompt before a long one of a higher rank (guards against short prompts behind long ones)', () => {
    assert.ok(engineUrgency(PROMPT) < engineUrgency({ ...PROMPT, reading: 1000, rank: 0 }))
  })

  it('orders prompts of like length by the operators\' rank', () => {
    assert.ok(engineUrgency({ ...PROMPT, rank: 0 }) < engineUrgency({ ...PROMPT, rank: 1 }))
  })

  it('puts a stream that broke off before new long prompts (guards against long pauses)', () => {
    assert.ok(engineUrgency({ ...PROMPT, reading: 1000, isResumed: true }) < engineUrgency({ ...PROMPT, reading: 1000 }))
  })

  it('stays within ten levels for any rank', () => {
    assert.equal(engineUrgency({ reading: 10_000, rank: 50, isResumed: false }), 8)
    assert.equal(engineUrgency({ reading: 0, rank: -1, isResumed: false }), 0)
  })
})
