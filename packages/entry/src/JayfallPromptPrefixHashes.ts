/** Hashes of the prefixes of a prompt, by which the router finds the servers that have a prefix in their cache. */

import { createHash } from 'node:crypto'

import { type ChatBody } from './JayfallChatRequest'
import { CHARACTERS_PER_TOKEN, PREFIX_CACHE_BLOCK_TOKENS, MAXIMUM_PREFIX_HASHES, PREFIX_HASH_CHARACTERS, PREFIX_HASH_INTERVAL_BLOCKS } from './JayfallEntryConstants'

const BLOCK_CHARACTERS = PREFIX_CACHE_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
const HASH_INTERVAL_CHARACTERS = BLOCK_CHARACTERS * PREFIX_HASH_INTERVAL_BLOCKS

/**
 * Hashes the prefixes of a prompt, shortest first.
 *
 * The text is hashed in blocks of the same size as in the engines, so that a hash equals the engine's own hash of the
 * same prefix. A hash is taken only after every few blocks, and the number of hashes is bounded, because hashing the
 * largest prompt must not occupy the data thread for milliseconds.
 */
export function hashPromptPrefixes (messages: ChatBody['messages']): readonly string[] {
  const prompt = joinPromptStart(messages)
  const hash = createHash('sha256')
  const hashes: string[] = []
  for (let start = 0; start + HASH_INTERVAL_CHARACTERS <= prompt.length && hashes.length < MAXIMUM_PREFIX_HASHES; start += HASH_INTERVAL_CHARACTERS) {
    for (let block = start; block < start + HASH_INTERVAL_CHARACTERS; block += BLOCK_CHARACTERS) hash.update(prompt.slice(block, block + BLOCK_CHARACTERS))
    hashes.push(hash.copy().digest('hex').slice(0, PREFIX_HASH_CHARACTERS))
  }
  return hashes
}

/** Joins messages as engines do, up to the first message that is not plain text or to the longest prefix that is hashed. */
function joinPromptStart (messages: ChatBody['messages']): string {
  const texts: string[] = []
  let length = 0
  for (const { content } of messages) {
    if (typeof content !== 'string' || length >= HASH_INTERVAL_CHARACTERS * MAXIMUM_PREFIX_HASHES) break
    texts.push(content)
    length += content.length + 1
  }
  return texts.join('\n')
}
