/** Tests of answers without a length whose connection is reset, over the loopback interface. */

import * as assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'

import { CutServer, type ConnectionEnd } from '#jayfall/standins'

import { type AnswerHead } from '../../JayfallAnswerParser'
import { BackendExchange, type BodyReceiver } from '../../JayfallBackendExchange'

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n'
const BODY = 'a part of the body'
/** More than the buffers of a connection take. */
const LONG_UPLOAD_BYTES = 32 * 1024 * 1024
const SHORT_UPLOAD_BYTES = 1000
const PROMPT_MILLISECONDS = 1000
/** An end by reset and a detection that depends on the order of events would show a fault only now and then. */
const REPETITIONS = 10

/** What became of an exchange: the received body, and whether it was taken as complete. */
interface ExchangeResult {
  readonly outcome: 'complete' | 'broken' | 'unsent'
  readonly body: string
}

describe('BackendExchange', () => {
  let server: CutServer | undefined
  let exchange: BackendExchange | undefined

  afterEach(() => {
    exchange?.destroy()
    server?.stop()
  })

  async function run (end: ConnectionEnd, uploadBytes: number, bytes = HEAD + BODY): Promise<ExchangeResult> {
    server?.stop()
    server = new CutServer(bytes, end, uploadBytes === LONG_UPLOAD_BYTES ? undefined : uploadBytes)
    await server.start()
    const { address } = server
    return await new Promise(resolve => {
      const parts: string[] = []
      const receiver: BodyReceiver = {
        onBytes: received => parts.push(received.toString()),
        onEnd: () => resolve({ outcome: 'complete', body: parts.join('') }),
        onFailure: ({ failure }) => resolve({ outcome: failure, body: parts.join('') })
      }
      const onAnswer = (_head: AnswerHead): void => { setImmediate(() => exchange?.readBody(receiver)) }
      exchange = BackendExchange.open({ method: 'POST', address, path: '/', rawHeaders: ['Host', 'host'], body: Buffer.alloc(uploadBytes) }, onAnswer, receiver.onFailure)
    })
  }

  async function untilClosed (): Promise<void> {
    for (const end = performance.now() + PROMPT_MILLISECONDS; server?.openConnections !== 0; await new Promise(resolve => setTimeout(resolve, 5))) assert.ok(performance.now() < end, 'a connection stayed open')
  }

  describe('an answer without a length', () => {
    // A reset right after a part of the body was reported as a normal end of the connection, and callers got the part as a complete answer.
    it('is broken when its connection is reset during the upload (guards against a part that is delivered as a complete answer)', async () => {
      for (let count = 0; count < REPETITIONS; count++) assert.equal((await run('reset', LONG_UPLOAD_BYTES)).outcome, 'broken')
    })

    it('is broken when its connection is reset after the whole request was sent (guards against a part that is delivered as a complete answer)', async () => {
      for (let count = 0; count < REPETITIONS; count++) assert.equal((await run('reset', SHORT_UPLOAD_BYTES)).outcome, 'broken')
    })

    it('is broken when it ends before the request was sent (guards against a server that gives up in the middle of an upload)', async () => {
      assert.equal((await run('fin', LONG_UPLOAD_BYTES)).outcome, 'broken')
      await untilClosed()
    })

    it('is complete, promptly, when its connection ends with a FIN, and the connection is closed (guards against sound answers that are refused, and connections that stay half open)', async () => {
      const startedAt = performance.now()
      for (let count = 0; count < REPETITIONS; count++) {
        assert.deepEqual(await run('fin', SHORT_UPLOAD_BYTES), { outcome: 'complete', body: BODY })
        await untilClosed()
      }
      assert.ok(performance.now() - startedAt < PROMPT_MILLISECONDS)
    })
  })

  describe('an answer with a length', () => {
    for (const end of ['fin', 'reset'] satisfies ConnectionEnd[]) {
      it(`is complete with its last byte, and its connection is closed after a ${end} (guards against connections that stay half open)`, async () => {
        assert.deepEqual(await run(end, SHORT_UPLOAD_BYTES, `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`), { outcome: 'complete', body: BODY })
        await untilClosed()
      })
    }

    it('is broken when its connection ends before its last byte, and the connection is closed', async () => {
      assert.equal((await run('fin', SHORT_UPLOAD_BYTES, `HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n${BODY}`)).outcome, 'broken')
      await untilClosed()
    })
  })

  describe('an answer whose status is none', () => {
    for (const status of ['000', '099', '20', '2000', '2x0', '-20']) {
      // A server in trouble sent 000, which callers got as a response.
      it(`such as ${status} is broken (guards against statuses that no caller can act on)`, async () => {
        assert.equal((await run('fin', SHORT_UPLOAD_BYTES, `HTTP/1.1 ${status} OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`)).outcome, 'broken')
        await untilClosed()
      })
    }
  })
})
