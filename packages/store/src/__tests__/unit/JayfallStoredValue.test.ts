/** Tests of values that any writer may have stored. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import fastCheck from 'fast-check'

import { parseStoredValue } from '../../JayfallStoredValue'

describe('parseStoredValue', () => {
  it('reads every value of ordinary depth as JSON.parse does', () => {
    fastCheck.assert(fastCheck.property(fastCheck.jsonValue({ maxDepth: 6 }), value => {
      assert.deepEqual(parseStoredValue(JSON.stringify(value)), JSON.parse(JSON.stringify(value)))
    }))
  })

  it('reads brackets within strings as text', () => {
    assert.deepEqual(parseStoredValue(JSON.stringify({ text: `"${'['.repeat(1000)}\\` })), { text: `"${'['.repeat(1000)}\\` })
  })

  // Failure: a value that was nested 50,000 levels deep could be read but not encoded again, and the instances that read through others stopped following the list.
  it('reads nothing from a value that is nested too deeply (guards against a stack overflow where it is encoded again)', () => {
    for (const depth of [65, 50_000]) {
      assert.equal(parseStoredValue('['.repeat(depth) + ']'.repeat(depth)), null)
      assert.equal(parseStoredValue('{"a":'.repeat(depth) + '1' + '}'.repeat(depth)), null)
    }
    assert.notEqual(parseStoredValue('['.repeat(64) + ']'.repeat(64)), null)
  })

  it('reads nothing from text that is not JSON, and takes no long time for it', () => {
    for (const text of ['', '{', '"'.repeat(100_001), '\\"'.repeat(50_000), '[{"'.repeat(10)]) assert.equal(parseStoredValue(text), null)
  })
})
