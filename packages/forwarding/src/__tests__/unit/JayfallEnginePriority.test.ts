/** Tests of the priority that engines give to prompts of different lengths and operator priorities. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { enginePriority } from '../../JayfallEnginePriority'

const PROMPT = { prefillTime: 10, operatorPriority: 2, isResumed: false }

describe('enginePriority', () => {
  // A short prompt that waits for the prefill of a long one misses its objective.
  it('ranks a short prompt before a long one of a more urgent operator priority (guards against short prompts behind long ones)', () => {
    assert.ok(enginePriority(PROMPT) < enginePriority({ ...PROMPT, prefillTime: 1000, operatorPriority: 0 }))
  })

  it('ranks prompts of similar length by operator priority', () => {
    assert.ok(enginePriority({ ...PROMPT, operatorPriority: 0 }) < enginePriority({ ...PROMPT, operatorPriority: 1 }))
  })

  // The caller of a resumed stream notices the wait as a pause between events.
  it('ranks the prompt of a resumed stream before new long prompts (guards against long pauses in streams)', () => {
    assert.ok(enginePriority({ ...PROMPT, prefillTime: 1000, isResumed: true }) < enginePriority({ ...PROMPT, prefillTime: 1000 }))
  })

  it('stays within ten levels for any operator priority', () => {
    assert.equal(enginePriority({ prefillTime: 10_000, operatorPriority: 50, isResumed: false }), 8)
    assert.equal(enginePriority({ prefillTime: 0, operatorPriority: -1, isResumed: false }), 0)
  })
})
