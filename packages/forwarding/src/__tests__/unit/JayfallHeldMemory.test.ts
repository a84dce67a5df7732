/** Tests of the limit on the memory that bodies use together. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { BodyReader } from '../../JayfallBodyReader'
import { HELD_BYTES_SHARE_OF_LARGE_BODIES, HELD_BYTES_SHARE_OF_PEER, SMALL_BODY_BYTES } from '../../JayfallForwardingConstants'
import { HeldMemory } from '../../JayfallHeldMemory'

const LIMIT = 64 * 1024 * 1024
const LARGE_BODY_BYTES = 4 * 1024 * 1024

describe('HeldMemory', () => {
  // Forty-two callers with bodies of 4 MiB took the memory of an instance, which was killed with the orders of others.
  it('refuses large bodies beyond their share and still takes small ones (guards against a process that ends for want of memory)', () => {
    const memory = new HeldMemory(LIMIT)
    const taken = Array.from({ length: 42 }, () => memory.open().resize(LARGE_BODY_BYTES)).filter(isTaken => isTaken)
    assert.equal(taken.length, Math.floor(LIMIT * HELD_BYTES_SHARE_OF_LARGE_BODIES / LARGE_BODY_BYTES))
    assert.ok(memory.open().resize(SMALL_BODY_BYTES))
    assert.ok(memory.heldBytes <= LIMIT)
  })

  it('limits what one server holds, and not what others do', () => {
    const memory = new HeldMemory(LIMIT)
    while (memory.open('greedy').resize(LARGE_BODY_BYTES));
    assert.equal(memory.heldBytes, LIMIT * HELD_BYTES_SHARE_OF_PEER)
    assert.equal(memory.open('other').resize(LARGE_BODY_BYTES), true)
  })

  it('gives memory back once', () => {
    const memory = new HeldMemory(LIMIT)
    const body = memory.open('server')
    body.resize(100)
    body.resize(300)
    assert.equal(memory.heldBytes, 300)
    body.release()
    body.release()
    assert.deepEqual([memory.heldBytes, body.resize(1)], [0, false])
  })
})

describe('BodyReader', () => {
  // Each chunk was kept as a buffer of its own, at about a hundred times its size, and the heap of 158 MB was full after one to two million of them.
  it('keeps a body in pieces of one byte in memory in line with its bytes (guards against a process that ends for want of memory)', async () => {
    const reader = new BodyReader({ bytes: LARGE_BODY_BYTES, held: new HeldMemory(LIMIT).open() })
    const piece = Buffer.from('x')
    const before = process.memoryUsage()
    for (let count = 0; count < LARGE_BODY_BYTES; count++) reader.onBytes(piece)
    const after = process.memoryUsage()
    reader.onEnd()
    assert.equal((await reader.result).length, LARGE_BODY_BYTES)
    assert.ok(after.heapUsed + after.external - before.heapUsed - before.external < LIMIT)
  })

  it('gives up a body whose memory is not free, and gives back what it had', async () => {
    const memory = new HeldMemory(1000)
    const reader = new BodyReader({ bytes: LARGE_BODY_BYTES, held: memory.open() })
    for (let count = 0; count < 30; count++) reader.onBytes(Buffer.alloc(100))
    reader.onEnd()
    assert.equal(await reader.result, 'no_memory')
    assert.equal(memory.heldBytes, 0)
  })

  it('keeps the memory of a body that has ended until it is released', async () => {
    const memory = new HeldMemory(1000)
    const held = memory.open()
    const reader = new BodyReader({ bytes: 1000, held })
    reader.onBytes(Buffer.alloc(400))
    reader.onEnd()
    reader.onFailure()
    assert.equal((await reader.result).length, 400)
    assert.equal(memory.heldBytes, 400)
  })
})
