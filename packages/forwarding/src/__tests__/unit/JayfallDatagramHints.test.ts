/** Tests of prefill hints between two instances, with datagrams over the loopback interface. */

import * as assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'

import { PeerDatagrams } from '#jayfall/peers'
import { ManualClock, delay } from '#jayfall/shared'
import { type Log, type LogFields } from '#jayfall/telemetry'

import { DatagramHints } from '../../JayfallDatagramHints'
import { type PrefillHint } from '../../JayfallPrefillHints'

const ARRIVAL_MILLISECONDS = 100

describe('DatagramHints', () => {
  const lines: { readonly event: string, readonly fields: LogFields }[] = []
  const record = (event: string, fields: LogFields = {}): void => { lines.push({ event, fields }) }
  const log: Log = { debug: record, info: record, warn: record, error: record }
  const clock = new ManualClock(1000)
  const started: PeerDatagrams[] = []

  async function start (): Promise<{ readonly hints: DatagramHints, readonly port: number }> {
    const datagrams = new PeerDatagrams({ host: '127.0.0.1', port: 0, clock, log })
    await datagrams.listen()
    started.push(datagrams)
    return { hints: new DatagramHints(datagrams), port: datagrams.port }
  }

  afterEach(() => {
    for (const datagrams of started.splice(0)) datagrams.close()
    lines.length = 0
  })

  it('delivers a hint to another instance', async () => {
    const [sender, receiver] = [await start(), await start()]
    const arrived: PrefillHint[] = []
    receiver.hints.subscribe(hint => arrived.push(hint))
    sender.hints.setTargets([{ zone: 'valdivia', address: `127.0.0.1:${receiver.port}` }])
    sender.hints.publish({ server: 'i-1', reading: 812.4 })
    await delay(ARRIVAL_MILLISECONDS)
    assert.deepEqual(arrived, [{ server: 'i-1', reading: 812 }])
  })

  it('tells only the instances of the zones that are named', async () => {
    const [sender, near, far] = [await start(), await start(), await start()]
    const arrived: string[] = []
    near.hints.subscribe(({ server }) => arrived.push(`near ${server}`))
    far.hints.subscribe(({ server }) => arrived.push(`far ${server}`))
    sender.hints.setTargets([{ zone: 'valdivia', address: `127.0.0.1:${near.port}` }, { zone: 'osorno', address: `127.0.0.1:${far.port}` }])
    sender.hints.publish({ server: 'i-1', reading: 100 }, ['osorno'])
    await delay(ARRIVAL_MILLISECONDS)
    assert.deepEqual(arrived, ['far i-1'])
  })

  // Each hint goes to many instances, so a burst of long prompts causes many datagrams.
  it('drops and logs hints above the rate limit (guards against hints that saturate the network)', async () => {
    const sender = await start()
    sender.hints.setTargets(Array.from({ length: 60 }, () => ({ zone: 'valdivia', address: `127.0.0.1:${sender.port}` })))
    for (let count = 0; count < 8; count++) sender.hints.publish({ server: 'i-1', reading: 100 })
    clock.advance(60_000)
    sender.hints.publish({ server: 'i-1', reading: 100 })
    assert.deepEqual(lines.map(({ event, fields }) => [event, fields.dropped]), [['datagrams_not_sent', 20], ['datagrams_not_sent', 60]])
  })

  it('ignores and logs a datagram that is not a valid hint', async () => {
    const [sender, receiver] = [await start(), await start()]
    const arrived: PrefillHint[] = []
    receiver.hints.subscribe(hint => arrived.push(hint))
    sender.hints.setTargets([{ zone: 'valdivia', address: `127.0.0.1:${receiver.port}` }])
    sender.hints.publish({ server: 'i-1', reading: -1 })
    await delay(ARRIVAL_MILLISECONDS)
    assert.deepEqual(arrived, [])
    assert.equal(lines[0]?.event, 'datagram_not_read')
  })
})
