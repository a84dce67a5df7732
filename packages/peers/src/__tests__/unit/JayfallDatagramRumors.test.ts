/** Tests of news between instances, with datagrams over the loopback interface. */

import * as assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'

import { SystemClock, createRandomSource, delay } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { DatagramRumors } from '../../JayfallDatagramRumors'
import { PeerDatagrams } from '../../JayfallPeerDatagrams'
import { type Peer } from '../../JayfallPeerDirectory'
import { RumorTopic } from '../../JayfallRumorChannel'

const ARRIVAL_MILLISECONDS = 400
const ignoreLine = (): void => {}
const log: Log = { debug: ignoreLine, info: ignoreLine, warn: ignoreLine, error: ignoreLine }

/** Remembers the news that it hears. */
class RecordingTopic extends RumorTopic {
  override readonly name = 'weather'
  readonly heard = new Map<string, number>()

  override hear (body: unknown, happenedAt: number): boolean {
    const isNew = !this.heard.has(String(body))
    this.heard.set(String(body), happenedAt)
    return isNew
  }

  override * current (): Generator<{ readonly body: unknown, readonly happenedAt: number }> {
    for (const [body, happenedAt] of this.heard) yield { body, happenedAt }
  }
}

describe('DatagramRumors', () => {
  const clock = new SystemClock()
  const started: PeerDatagrams[] = []

  async function start (id: string): Promise<{ readonly rumors: DatagramRumors, readonly topic: RecordingTopic, readonly peer: Peer }> {
    const datagrams = new PeerDatagrams({ host: '127.0.0.1', port: 0, clock, log })
    await datagrams.listen()
    started.push(datagrams)
    const peer = { id, zone: 'valdivia', address: `127.0.0.1:${datagrams.port}` }
    const rumors = new DatagramRumors({ datagrams, self: peer, clock, random: createRandomSource(1), log })
    const topic = new RecordingTopic()
    rumors.subscribe(topic)
    return { rumors, topic, peer }
  }

  afterEach(() => {
    for (const datagrams of started.splice(0)) datagrams.close()
  })

  it('passes news on to instances that the first one does not know', async () => {
    const [first, second, third] = [await start('a'), await start('b'), await start('c')]
    first.rumors.setPeers([second.peer])
    second.rumors.setPeers([third.peer])
    const happenedAt = clock.monotonic() - 5000
    first.rumors.tell(first.topic, 'rain', happenedAt)
    await delay(ARRIVAL_MILLISECONDS)
    assert.ok(Math.abs((third.topic.heard.get('rain') ?? 0) - happenedAt) < ARRIVAL_MILLISECONDS)
  })

  it('answers an instance that has just started (guards against instances that do not know what came before them)', async () => {
    const [old, newcomer] = [await start('a'), await start('b')]
    old.topic.hear('snow', clock.monotonic())
    newcomer.rumors.setPeers([old.peer])
    await delay(ARRIVAL_MILLISECONDS)
    assert.ok(newcomer.topic.heard.has('snow'))
  })

  it('sends reports to collectors only, which may be the instance itself', async () => {
    const [first, second] = [await start('a'), await start('b')]
    first.rumors.setPeers([second.peer])
    // The question of an instance that has just started is answered before.
    await delay(ARRIVAL_MILLISECONDS)
    first.rumors.report(first.topic, 'key', 'hail', clock.monotonic())
    await delay(ARRIVAL_MILLISECONDS)
    assert.equal(Number(first.topic.heard.has('hail')) + Number(second.topic.heard.has('hail')), 1)
  })
})
