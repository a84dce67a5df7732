/** Tests of what bytes cost that arrive in small pieces. */

import * as assert from 'node:assert/strict'
import { Readable } from 'node:stream'
import { describe, it } from 'node:test'

import fastCheck from 'fast-check'

import { GrowingBuffer, readBounded } from '#jayfall/shared'

const BODY_BYTES = 4 * 1024 * 1024

describe('GrowingBuffer', () => {
  it('holds what was appended and not discarded, in any pieces', () => {
    fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.tuple(fastCheck.uint8Array({ maxLength: 300 }), fastCheck.nat(300))), steps => {
      const buffer = new GrowingBuffer()
      let expected: readonly number[] = []
      for (const [piece, discarded] of steps) {
        buffer.append(Buffer.from(piece))
        const count = Math.min(discarded, buffer.length)
        buffer.discard(count)
        expected = [...expected, ...piece].slice(count)
        assert.deepEqual([...buffer.bytes], expected)
      }
      assert.deepEqual([...buffer.take()], expected)
      assert.equal(buffer.length, 0)
    }))
  })

  // An answer in chunks of one byte was kept as a list of buffers, which filled the heap of 158 MB and ended the process.
  it('takes at most twice the memory of its bytes, also in pieces of one byte (guards against a process that ends for want of memory)', () => {
    const buffer = new GrowingBuffer()
    const piece = Buffer.from('x')
    const before = process.memoryUsage()
    for (let length = 0; length < BODY_BYTES; length++) buffer.append(piece)
    const after = process.memoryUsage()
    assert.ok(buffer.capacity <= 2 * BODY_BYTES)
    assert.ok(after.heapUsed + after.external - before.heapUsed - before.external < 16 * BODY_BYTES)
  })
})

describe('readBounded', () => {
  it('reads an answer to its end', async () => {
    assert.equal((await readBounded(Readable.from([Buffer.from('a'), Buffer.from('bc')]), { bytes: 3, pieces: 2 })).toString(), 'abc')
  })

  // The answers of the store and of other instances were read without a limit.
  it('rejects an answer that has more bytes or pieces than allowed, and closes it (guards against a process that ends for want of memory)', async () => {
    for (const limits of [{ bytes: 2, pieces: 10 }, { bytes: 10, pieces: 1 }]) {
      const stream = Readable.from([Buffer.from('a'), Buffer.from('bc')])
      await assert.rejects(readBounded(stream, limits), /the answer goes on/)
      assert.equal(stream.destroyed, true)
    }
  })

  it('rejects an answer that ends early', async () => {
    const stream = new Readable({ read: () => {} })
    const reading = readBounded(stream, { bytes: 10, pieces: 10 })
    stream.destroy()
    await assert.rejects(reading, /ended early/)
  })
})
