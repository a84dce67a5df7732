/** Tests of what the client takes as an answer of a server, over the loopback interface. */

import * as assert from 'node:assert/strict'
import { after, afterEach, describe, it } from 'node:test'

import { SystemClock } from '#jayfall/shared'
import { CutServer, type ConnectionEnd } from '#jayfall/standins'

import { BackendClient } from '../../JayfallBackendClient'
import { isBackendError } from '../../JayfallBackendError'
import { AnySourceLeavingPolicy } from '../../JayfallLeavingPolicy'
import { ValidatingStreamReader } from '../../JayfallValidatingStreamReader'

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n'
const BODY = 'a part of the body'
const FIRST_EVENT = 'id: s:0\ndata: {"choices":[]}\n\n'
/** More than the buffers of a connection take. */
const LONG_UPLOAD_BYTES = 32 * 1024 * 1024
const SHORT_UPLOAD_BYTES = 1000
const TIMEOUT_MILLISECONDS = 3000
const REPETITIONS = 10

describe('BackendClient', () => {
  const client = new BackendClient(new SystemClock(), { onLoad: () => {}, onLeaving: () => {} }, new AnySourceLeavingPolicy())
  let server: CutServer | undefined

  afterEach(() => server?.stop())
  after(() => client.close())

  async function send (bytes: string, end: ConnectionEnd, uploadBytes: number, hasOwnConnection = false): ReturnType<typeof client.send> {
    server?.stop()
    server = new CutServer(bytes, end, uploadBytes === LONG_UPLOAD_BYTES ? undefined : uploadBytes)
    await server.start()
    return await client.send({ method: 'POST', address: server.address, path: '/', headers: {}, payload: Buffer.alloc(uploadBytes), headersTimeout: TIMEOUT_MILLISECONDS, hasOwnConnection })
  }

  /** Sends a call and reads its answer: the body, or the kind of failure. */
  async function call (...parts: Parameters<typeof send>): Promise<string> {
    try {
      return (await client.read(await send(...parts), TIMEOUT_MILLISECONDS)).toString()
    } catch (error) {
      assert.ok(isBackendError(error))
      return error.failure
    }
  }

  async function untilClosed (): Promise<void> {
    for (const end = performance.now() + TIMEOUT_MILLISECONDS; server?.openConnections !== 0; await new Promise(resolve => setTimeout(resolve, 5))) assert.ok(performance.now() < end, 'a connection stayed open')
  }

  for (const hasOwnConnection of [false, true]) {
    describe(`an answer without a length on ${hasOwnConnection ? 'a connection of its own' : 'a pooled connection'}`, () => {
      // A reset right after a part of the body was reported as a normal end of the connection, and callers got the part as a complete answer.
      it('is broken when its connection is reset during the upload (guards against a part that is delivered as a complete answer)', async () => {
        for (let count = 0; count < REPETITIONS; count++) assert.equal(await call(HEAD + BODY, 'reset', LONG_UPLOAD_BYTES, hasOwnConnection), 'broken')
      })

      it('is broken when its connection is reset after the whole request was sent (guards against a part that is delivered as a complete answer)', async () => {
        for (let count = 0; count < REPETITIONS; count++) assert.equal(await call(HEAD + BODY, 'reset', SHORT_UPLOAD_BYTES, hasOwnConnection), 'broken')
      })

      it('is broken when it ends before the request was sent (guards against a server that gives up in the middle of an upload)', async () => {
        assert.equal(await call(HEAD + BODY, 'fin', LONG_UPLOAD_BYTES, hasOwnConnection), 'broken')
        await untilClosed()
      })

      it('is complete when its connection ends with a FIN, and the connection is closed (guards against sound answers that are refused)', async () => {
        for (let count = 0; count < REPETITIONS; count++) {
          assert.equal(await call(HEAD + BODY, 'fin', SHORT_UPLOAD_BYTES, hasOwnConnection), BODY)
          await untilClosed()
        }
      })
    })
  }

  it('takes an answer with a length as complete with its last byte, and one without a body at once', async () => {
    assert.equal(await call(`HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`, 'reset', SHORT_UPLOAD_BYTES), BODY)
    assert.equal(await call('HTTP/1.1 204 No Content\r\n\r\n', 'fin', SHORT_UPLOAD_BYTES), '')
  })

  for (const status of ['000', '099', '20', '2000']) {
    // A server in trouble sent 000, and its caller got it as a response.
    it(`takes an answer whose status is ${status} as broken (guards against statuses that no caller can act on)`, async () => {
      assert.equal(await call(`HTTP/1.1 ${status} OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`, 'fin', SHORT_UPLOAD_BYTES), 'broken')
    })
  }

  // The stream states its end in an event, so the end of its connection completes nothing.
  it('leaves a stream without a length to its reader, which reports a reset as an interruption (guards against a stream that looks complete)', async () => {
    const response = await send(HEAD + FIRST_EVENT, 'reset', SHORT_UPLOAD_BYTES)
    const reports = await new Promise<readonly string[]>(resolve => {
      const events: string[] = []
      const receiver = { onEvents: (raw: Buffer) => { events.push(raw.toString()) }, onFinalEvents: () => resolve([...events, 'final']), onInterruption: (reason: string) => resolve([...events, reason]) }
      const reader = new ValidatingStreamReader({ response, streamId: 's', nextIndex: 0, patience: 1, receiver })
      assert.ok(reader)
    })
    assert.deepEqual(reports, [FIRST_EVENT, 'closed'])
  })
})
