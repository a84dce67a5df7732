/** Tests of what streams keep in memory for callers that do not read, over the loopback interface. */

import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'

import { ManualClock, SystemClock } from '#jayfall/shared'
import { Metrics, type Log } from '#jayfall/telemetry'

import { BackendExchange } from '../../JayfallBackendExchange'
import { CallerAnswer } from '../../JayfallCallerAnswer'
import { HELD_BYTES_SHARE_OF_LARGE_BODIES, MAXIMUM_STREAM_BYTES, SMALL_BODY_BYTES, SLOW_CALLER_MILLISECONDS } from '../../JayfallForwardingConstants'
import { HeldMemory } from '../../JayfallHeldMemory'
import { ReadPacer } from '../../JayfallReadPacer'
import { StreamRelay } from '../../JayfallStreamRelay'
import { UnsentAnswers } from '../../JayfallUnsentAnswers'

const CALLERS = 5
const EVENTS = Buffer.from(`data: ${'y'.repeat(1000)}\n\n`.repeat(64))
/** One read of the server's connection beyond the size at which a connection reports that it is full. */
const MAXIMUM_UNSENT_BYTES = 64 * 1024 + 32 * 1024
const DEADLINE_MILLISECONDS = 10_000
const MEMORY_LIMIT_BYTES = 2 * 1024 * 1024
const LARGE_BODY_BYTES = SMALL_BODY_BYTES + 1

describe('streams of callers that do not read', () => {
  const lines: string[] = []
  const record = (event: string): void => { lines.push(event) }
  const log: Log = { debug: record, info: record, warn: record, error: record }
  const clock = new SystemClock()
  let responses: http.ServerResponse[]
  let callers: net.Socket[]
  let memory: HeldMemory
  let unsentClock: ManualClock
  let unsent: UnsentAnswers
  let instance: http.Server
  let engine: http.Server

  beforeEach(async () => {
    [responses, callers] = [[], []]
    memory = new HeldMemory(MEMORY_LIMIT_BYTES)
    unsentClock = new ManualClock()
    unsent = new UnsentAnswers(memory, unsentClock, log, new Metrics())
    engine = http.createServer((_request, response) => {
      const write = (): void => { while (response.write(EVENTS)); }
      response.on('drain', write)
      write()
    })
    instance = http.createServer((request, response) => {
      responses.push(response)
      const answer = new CallerAnswer(request, response, clock, new ReadPacer(clock), unsent, () => false)
      const exchange = BackendExchange.open({ method: 'GET', address: `127.0.0.1:${(engine.address() as net.AddressInfo).port}`, path: '/', rawHeaders: ['Host', 'host'], body: Buffer.alloc(0) }, head => {
        const relay = new StreamRelay({ exchange, head, answer, clock, deadline: clock.monotonic() + DEADLINE_MILLISECONDS, firstEventTimeout: DEADLINE_MILLISECONDS, eventGapTimeout: DEADLINE_MILLISECONDS, stopSignals: [answer.callerDisconnected], isResumable: false, isReplaceable: () => false, onBytes: () => {}, onEvents: () => {} })
        relay.run().then(() => exchange.destroy(), assert.fail)
      }, assert.fail)
    })
    for (const server of [engine, instance]) await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    for (let count = 0; count < CALLERS; count++) {
      const caller = net.connect((instance.address() as net.AddressInfo).port, '127.0.0.1')
      caller.on('error', () => {})
      caller.pause()
      caller.write('GET / HTTP/1.1\r\nHost: host\r\n\r\n')
      callers.push(caller)
    }
    while (unsent.connectionCount < CALLERS || !await isStill()) await pause()
  })

  afterEach(() => {
    for (const caller of callers) caller.destroy()
    for (const server of [engine, instance]) {
      server.closeAllConnections()
      server.close()
    }
  })

  const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 50))

  /** Whether no connection takes anything any longer. */
  async function isStill (): Promise<boolean> {
    const written = responses.map(({ socket }) => socket?.bytesWritten)
    await pause()
    return responses.every(({ socket }, index) => socket?.bytesWritten === written[index])
  }

  // Each stream would otherwise keep up to `MAXIMUM_STREAM_BYTES` for its caller.
  it('keep a bounded number of bytes each, and count them (guards against a process that runs out of memory)', () => {
    for (const { writableLength } of responses) {
      assert.ok(writableLength > 0 && writableLength <= MAXIMUM_UNSENT_BYTES, `${writableLength} bytes of at most ${MAXIMUM_STREAM_BYTES}`)
    }
    assert.equal(memory.heldBytes, responses.reduce((sum, { writableLength }) => sum + writableLength, 0))
  })

  it('are cut off when memory runs short, and only then, and only as many as necessary', async () => {
    memory.open().resize(MEMORY_LIMIT_BYTES * HELD_BYTES_SHARE_OF_LARGE_BODIES - memory.heldBytes)
    assert.equal(memory.open().resize(LARGE_BODY_BYTES), false, 'no caller is slow yet')
    assert.equal(unsent.connectionCount, CALLERS)
    unsentClock.advance(SLOW_CALLER_MILLISECONDS)
    assert.equal(memory.open().resize(LARGE_BODY_BYTES), true)
    assert.ok(unsent.connectionCount > 0 && unsent.connectionCount < CALLERS)
    assert.equal(lines.filter(line => line === 'slow_caller_cut_off').length, CALLERS - unsent.connectionCount)
    await pause()
    assert.equal(responses.filter(({ destroyed }) => destroyed).length, CALLERS - unsent.connectionCount)
  })

  it('go on when their callers read, and give their memory back', async () => {
    const received = callers.map(() => 0)
    for (const [index, caller] of callers.entries()) {
      caller.on('data', bytes => { received[index] += bytes.length })
      caller.resume()
    }
    while (received.some(bytes => bytes < MAXIMUM_STREAM_BYTES)) await pause()
    for (const caller of callers) caller.destroy()
    while (memory.heldBytes > 0) await pause()
    assert.equal(unsent.connectionCount, 0)
  })
})
