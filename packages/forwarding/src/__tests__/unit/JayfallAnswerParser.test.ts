/** Tests of the parsing of answers, with bytes that arrive in any pieces and from faulty servers. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import fastCheck from 'fast-check'

import { AnswerConsumer, AnswerParseError, AnswerParser, type AnswerHead } from '../../JayfallAnswerParser'
import { MAXIMUM_ANSWER_HEAD_BYTES, MAXIMUM_CHUNK_LINE_BYTES } from '../../JayfallForwardingConstants'

class RecordingConsumer extends AnswerConsumer {
  head: AnswerHead | undefined
  body = ''
  ends = 0

  override onHead (head: AnswerHead): void {
    this.head = head
  }

  override onBody (bytes: Buffer): void {
    this.body += bytes.toString('latin1')
  }

  override onEnd (): void {
    this.ends++
  }
}

/** Parses pieces of bytes that are overwritten after each call, as those of a shared read buffer are. */
function parse (pieces: readonly string[], { isHeadRequest = false, isEnded = false } = {}): RecordingConsumer {
  const consumer = new RecordingConsumer()
  const parser = new AnswerParser(consumer, isHeadRequest)
  for (const piece of pieces) {
    const bytes = Buffer.from(piece, 'latin1')
    parser.push(bytes)
    bytes.fill('?')
  }
  if (isEnded) parser.finish()
  return consumer
}

const SIZED = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nwhole'
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3\r\nwho\r\n2;note=x\r\nle\r\n0\r\nTrailer: t\r\n\r\n'

describe('AnswerParser', () => {
  describe('with a complete answer', () => {
    it('reads the status, the headers and a body of a stated length', () => {
      const { head, body, ends } = parse([SIZED])
      assert.deepEqual({ ...head, headers: { ...head?.headers } }, { status: 200, rawHeaders: ['Request-Id', 'r1', 'Content-Length', '5'], headers: { 'request-id': 'r1', 'content-length': '5' }, isSelfDelimited: true })
      assert.deepEqual([body, ends], ['whole', 1])
    })

    it('reads a body in chunks, without its trailers', () => {
      const { body, ends } = parse([CHUNKED])
      assert.deepEqual([body, ends], ['whole', 1])
    })

    it('reads a body that ends with the connection', () => {
      const { head, body, ends } = parse(['HTTP/1.1 200 OK\r\n\r\nwhole'], { isEnded: true })
      assert.deepEqual([head?.isSelfDelimited, body, ends], [false, 'whole', 1])
    })

    it('expects no body after a HEAD request, 204 and 304', () => {
      assert.equal(parse(['HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'], { isHeadRequest: true }).ends, 1)
      for (const status of [204, 304]) assert.equal(parse([`HTTP/1.1 ${status} x\r\nContent-Length: 5\r\n\r\n`]).ends, 1)
    })

    it('passes over interim answers', () => {
      assert.equal(parse([`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${SIZED}`]).body, 'whole')
    })

    it('reads the same from bytes in any pieces', () => {
      fastCheck.assert(fastCheck.property(fastCheck.constantFrom(SIZED, CHUNKED), fastCheck.array(fastCheck.nat(120), { maxLength: 12 }), (text, cuts) => {
        const places = [0, ...[...cuts].sort((left, right) => left - right).map(cut => Math.min(cut, text.length)), text.length]
        const { body, ends } = parse(places.slice(1).map((place, index) => text.slice(places[index], place)))
        return body === 'whole' && ends === 1
      }))
    })
  })

  describe('with bytes after the answer', () => {
    // A server sent a second copy of an answer, and the next caller got an answer that was not its own.
    it('drops them (guards against an answer that reaches another caller)', () => {
      const { body, ends } = parse([SIZED + SIZED.replace('whole', 'other'), SIZED])
      assert.deepEqual([body, ends], ['whole', 1])
    })
  })

  describe('with an answer that is broken off', () => {
    it('does not take it for complete (guards against partial answers that look whole)', () => {
      for (const text of [SIZED, CHUNKED]) {
        for (let length = 0; length < text.length; length++) assert.throws(() => parse([text.slice(0, length)], { isEnded: true }), AnswerParseError, `${length} bytes`)
      }
    })
  })

  describe('with bytes that are no answer', () => {
    const cases: Readonly<Record<string, string>> = {
      'no status line': 'garbage\r\n\r\n',
      'a status without meaning': 'HTTP/1.1 099 x\r\n\r\n',
      'a change of the protocol': 'HTTP/1.1 101 Switching Protocols\r\n\r\n',
      'a header without a name': 'HTTP/1.1 200 OK\r\n: x\r\n\r\n',
      'a space before the colon': 'HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n',
      'a folded header': 'HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n\r\n',
      'two lengths': 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n',
      'a length and chunks': 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n',
      'a negative length': 'HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n',
      'an unknown coding': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n',
      'a chunk without a size': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n',
      'a chunk that is longer than its size': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n'
    }
    for (const [name, text] of Object.entries(cases)) {
      it(`rejects ${name}`, () => { assert.throws(() => parse([text]), AnswerParseError) })
    }
  })

  describe('with bytes without end', () => {
    const endless: Readonly<Record<string, string>> = {
      'a head': `HTTP/1.1 200 OK\r\n${'X: y\r\n'.repeat(MAXIMUM_ANSWER_HEAD_BYTES / 6)}`,
      'interim answers': 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(MAXIMUM_ANSWER_HEAD_BYTES / 20),
      'the size of a chunk': `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'0'.repeat(MAXIMUM_CHUNK_LINE_BYTES + 1)}`,
      trailers: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n${'X: y\r\n'.repeat(MAXIMUM_ANSWER_HEAD_BYTES / 6)}`
    }
    for (const [name, text] of Object.entries(endless)) {
      it(`gives up ${name} (guards against a process that runs out of memory)`, () => { assert.throws(() => parse([...text]), AnswerParseError) })
    }
  })

  describe('with bytes that cost more than they weigh', () => {
    /** Far more than linear time takes, and far less than the time before. */
    const maximumMilliseconds = 1000
    const padding = ' '.repeat(MAXIMUM_ANSWER_HEAD_BYTES - 100)

    function measure (work: () => void): number {
      const startedAt = performance.now()
      work()
      return performance.now() - startedAt
    }

    // One answer with a padded header kept the instance busy for longer than anybody waited: the time grew with the third power of the blanks.
    it('rejects a padded header that is invalid in time in line with its bytes (guards against an instance that hangs)', () => {
      const head = `HTTP/1.1 200 OK\r\nX-Padded: ${padding}\0\r\n\r\n`
      assert.ok(measure(() => assert.throws(() => parse([head]), AnswerParseError)) < maximumMilliseconds)
    })

    it('reads blanks within and around a value in time in line with its bytes', () => {
      const half = padding.slice(0, padding.length / 2)
      for (const value of [`a${half}b`, `${half}a${half}`]) {
        let answer: RecordingConsumer | undefined
        assert.ok(measure(() => { answer = parse([`HTTP/1.1 200 OK\r\nX: ${value}\r\nContent-Length: 0\r\n\r\n`]) }) < maximumMilliseconds)
        assert.equal(answer?.head?.headers.x, value.trim())
      }
    })

    it('reads a head in pieces of one byte in time in line with its bytes', () => {
      const head = `HTTP/1.1 200 OK\r\nX: ${'y'.repeat(padding.length - 100)}\r\nContent-Length: 0\r\n\r\n`
      assert.ok(measure(() => assert.equal(parse([...head]).ends, 1)) < maximumMilliseconds)
    })

    // Each chunk of one byte became a call and a buffer of its own, and the heap was full after some megabytes.
    it('hands out the chunks of one read together (guards against a process that ends for want of memory)', () => {
      class CountingConsumer extends RecordingConsumer {
        calls = 0

        override onBody (bytes: Buffer): void {
          this.calls++
          super.onBody(bytes)
        }
      }
      const consumer = new CountingConsumer()
      const parser = new AnswerParser(consumer, false)
      parser.push(Buffer.from('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'))
      const chunks = Buffer.from('1\r\nx\r\n'.repeat(10_000) + '20\r\n01234567890123456789012345678901\r\n')
      assert.ok(measure(() => parser.push(chunks)) < maximumMilliseconds)
      assert.deepEqual([consumer.calls, consumer.body], [1, 'x'.repeat(10_000) + '01234567890123456789012345678901'])
    })
  })
})
