/** Hashes of a prompt's prefixes, by which the router finds the servers that hold them in their caches. */

import { createHash } from 'node:crypto'

import { type ChatBody } from './JayfallChatRequest'
import { CHARACTERS_PER_TOKEN, ENGINE_BLOCK_TOKENS, MAXIMUM_PREFIX_STEPS, PREFIX_HASH_CHARACTERS, PREFIX_STEP_BLOCKS } from './JayfallEntryConstants'

const BLOCK_CHARACTERS = ENGINE_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
const STEP_CHARACTERS = BLOCK_CHARACTERS * PREFIX_STEP_BLOCKS

/**
 * Hashes the prompt's prefixes, shortest first.
 *
 * The text is hashed in the engines' blocks, so that a hash equals the engines' own hash of the
 * same prefix. Only every few blocks give a hash, and their number is bounded, as a prompt of
 * the largest size must not take milliseconds of the data thread.
 */
export function computePrefixBlocks (messages: ChatBody['messages']): readonly string[] {
  const prompt = readPrompt(messages)
  const hash = createHash('sha256')
  const blocks: string[] = []
  for (let start = 0; start + STEP_CHARACTERS <= prompt.length && blocks.length < MAXIMUM_PREFIX_STEPS; start += STEP_CHARACTERS) {
    for (let block = start; block < start + STEP_CHARACTERS; block += BLOCK_CHARACTERS) hash.update(prompt.slice(block, block + BLOCK_CHARACTERS))
    blocks.push(hash.copy().digest('hex').slice(0, PREFIX_HASH_CHARACTERS))
  }
  return blocks
}

/** The start of the prompt as engines join it, up to the first message that is not plain text. */
function readPrompt (messages: ChatBody['messages']): string {
  const texts: string[] = []
  let length = 0
  for (const { content } of messages) {
    if (typeof content !== 'string' || length >= STEP_CHARACTERS * MAXIMUM_PREFIX_STEPS) break
    texts.push(content)
    length += content.length + 1
  }
  return texts.join('\n')
}
