/** Tests of the splitting of streams into events, with bytes in any pieces and from faulty servers. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import fastCheck from 'fast-check'

import { EventSplitter, type EventBatch } from '../../JayfallEventSplitter'
import { MAXIMUM_EVENT_BYTES } from '../../JayfallForwardingConstants'

/** Far more than linear time takes, and far less than the time before. */
const MAXIMUM_MILLISECONDS = 2000

interface SplitStream {
  readonly received: number
  readonly later: number
  readonly text: string
  readonly lastId: string | undefined
  readonly splitter: EventSplitter
}

/** Splits pieces of bytes that are overwritten after each call, as those of a shared read buffer are. */
function split (pieces: readonly string[], { isNumbered = true, after }: { readonly isNumbered?: boolean, readonly after?: string } = {}): SplitStream {
  const splitter = new EventSplitter(isNumbered)
  let [received, later, text, lastId] = [0, 0, '', after]
  for (const piece of pieces) {
    const bytes = Buffer.from(piece)
    const batch: EventBatch = splitter.push(bytes, lastId)
    received += batch.received
    later += batch.later
    text += batch.bytes.toString()
    lastId = batch.lastId ?? lastId
    bytes.fill('?')
  }
  return { received, later, text, lastId, splitter }
}

const EVENTS = 'id: 1\ndata: a\n\n: note\n\nid:2\r\ndata: b\r\n\r\nevent: x\nid: 3 \ndata: c\n\n'

describe('EventSplitter', () => {
  describe('with events', () => {
    it('hands out each event with the comments in front of it', () => {
      const { received, later, text, lastId, splitter } = split([`${EVENTS}id: 4\ndata`])
      assert.deepEqual([received, later, text, lastId, splitter.pendingBytes, splitter.isAtBlockEnd], [3, 3, EVENTS, '3', 10, false])
    })

    it('hands out the same from bytes in any pieces', () => {
      fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat(EVENTS.length), { maxLength: 20 }), cuts => {
        const places = [0, ...[...cuts].sort((left, right) => left - right), EVENTS.length]
        const { received, text, lastId, splitter } = split(places.slice(1).map((place, index) => EVENTS.slice(places[index], place)))
        assert.deepEqual([received, text, lastId, splitter.pendingBytes], [3, EVENTS, '3', 0])
      }))
    })

    it('leaves out events that the caller has already', () => {
      const { received, later, text } = split(['id: 1\ndata: a\n\nid: 3\ndata: c\n\nid: 2\ndata: b\n\nid: 4\ndata: d\n\n'], { after: '1' })
      assert.deepEqual([received, later, text], [4, 2, 'id: 3\ndata: c\n\nid: 4\ndata: d\n\n'])
    })

    it('keeps comments after the last event until the end of the stream', () => {
      const { splitter } = split(['id: 1\ndata: a\n\n', ': end\n\n'])
      assert.deepEqual([splitter.isAtBlockEnd, splitter.takeRest().toString()], [true, ': end\n\n'])
    })
  })

  describe('with events without a number', () => {
    it('hands them out where no other server may continue the stream', () => {
      const { received, later, text } = split(['data: a\n\nid: x\ndata: b\n\n'], { isNumbered: false })
      assert.deepEqual([received, later, text], [2, 2, 'data: a\n\nid: x\ndata: b\n\n'])
    })

    // Such events always counted as progress, and a stream of them never ended as silent. The stream of another server followed them in the same answer.
    it('keeps them back where another server may continue the stream (guards against pieces of two runs in one answer)', () => {
      const { received, text, splitter } = split(['data: a\n\n', 'id: x\ndata: b\n\n'])
      assert.deepEqual([received, text, splitter.pendingBytes], [0, '', 24])
    })

    // The number is written into a header of the request to the next server.
    it('takes nothing but digits for a number (guards against a header of the next request that a server wrote)', () => {
      for (const value of ['1\rHost: x', '1 2', '-1', '1e9', '1'.repeat(16)]) assert.equal(split([`id: ${value}\ndata: a\n\n`]).received, 0, value)
    })
  })

  describe('with bytes that are no events', () => {
    // A read of 64 KB of line ends became 32,768 events with their own objects and calls, each counted as progress, and nothing else was answered.
    for (const noise of ['\n', '\r\n', ':\n\n', ': hello\n', 'event: x\n\n', 'retry: 1\n\n', 'x\n\n']) {
      it(`counts none in ${JSON.stringify(noise)} without end (guards against an instance that hangs)`, () => {
        const { received, later, text, splitter } = split(Array.from({ length: 5 }, () => noise.repeat(Math.ceil(65_536 / noise.length))))
        assert.deepEqual([received, later, text], [0, 0, ''])
        assert.ok(splitter.pendingBytes > MAXIMUM_EVENT_BYTES)
      })
    }
  })

  describe('with an event in pieces of one byte', () => {
    // Each piece was joined with all before it, and the whole searched from its start: not done after 90 seconds.
    for (const line of ['x', 'x\n']) {
      it(`takes time in line with the bytes of ${JSON.stringify(line)} (guards against an instance that hangs)`, () => {
        const startedAt = performance.now()
        const { splitter } = split([...line.repeat(MAXIMUM_EVENT_BYTES / line.length)])
        assert.equal(splitter.pendingBytes, MAXIMUM_EVENT_BYTES)
        assert.ok(performance.now() - startedAt < MAXIMUM_MILLISECONDS)
      })
    }
  })
})
