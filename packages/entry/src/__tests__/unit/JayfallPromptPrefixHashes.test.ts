/** Tests of the hashes of prompt prefixes. */

import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { describe, it } from 'node:test'

import { hashPromptPrefixes } from '../../JayfallPromptPrefixHashes'

/** Characters between two successive hashes. */
const HASH_INTERVAL_CHARACTERS = 256

describe('hashPromptPrefixes', () => {
  const createUserMessage = (content: unknown): { readonly role: string, readonly content: unknown } => ({ role: 'user', content })

  // Guards against hashes that differ from the hashes in the cache events of engines.
  it('returns the start of the SHA-256 hash of each prefix (guards against hashes that engines do not know)', () => {
    const text = 'cutting log '.repeat(100)
    const expected = [1, 2].map(steps => createHash('sha256').update(text.slice(0, HASH_INTERVAL_CHARACTERS * steps)).digest('hex').slice(0, 16))
    assert.deepEqual(hashPromptPrefixes([createUserMessage(text)]).slice(0, 2), expected)
  })

  // Guards against a conversation that loses the cached prefix of its earlier messages.
  it('keeps the hashes of the start when a conversation grows (guards against lost cache affinity)', () => {
    const first = [createUserMessage('a'.repeat(600))]
    const later = [...first, createUserMessage('b'.repeat(600))]
    assert.deepEqual(hashPromptPrefixes(later).slice(0, 2), hashPromptPrefixes(first))
  })

  // Guards against long prompts that occupy the data thread with hashing.
  it('limits the number of hashes (guards against prompts that occupy the thread)', () => {
    assert.equal(hashPromptPrefixes([createUserMessage('x'.repeat(1_000_000))]).length, 32)
  })

  // Guards against a failure on messages whose content is not a plain text.
  it('ends the prefix before content that is not plain text (guards against messages of other formats)', () => {
    assert.deepEqual(hashPromptPrefixes([createUserMessage([{ type: 'text', text: 'x'.repeat(600) }])]), [])
  })
})
