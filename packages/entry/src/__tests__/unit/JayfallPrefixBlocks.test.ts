import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { describe, it } from 'node:test'

import { computePrefixBlocks } from '../../JayfallPrefixBlocks'

const STEP = 256

describe('computePrefixBlocks', () => {
  const user = (content: unknown): { readonly role: string, readonly content: unknown } => ({ role: 'user', content })

  it('guards against hashes that engines do not know: each is the start of the SHA-256 of its prefix', () => {
    const text = 'cutting log '.repeat(100)
    const expected = [1, 2].map(steps => createHash('sha256').update(text.slice(0, STEP * steps)).digest('hex').slice(0, 16))
    assert.deepEqual(computePrefixBlocks([user(text)]).slice(0, 2), expected)
  })

  it('guards against lost affinity: a longer conversation keeps the hashes of its start', () => {
    const first = [user('a'.repeat(600))]
    const later = [...first, user('b'.repeat(600))]
    assert.deepEqual(computePrefixBlocks(later).slice(0, 2), computePrefixBlocks(first))
  })

  it('guards against prompts that occupy the thread: the number of hashes is bounded', () => {
    assert.equal(computePrefixBlocks([user('x'.repeat(1_000_000))]).length, 32)
  })

  it('guards against messages of other shapes: what is not plain text ends the prefix', () => {
    assert.deepEqual(computePrefixBlocks([user([{ type: 'text', text: 'x'.repeat(600) }])]), [])
  })
})
