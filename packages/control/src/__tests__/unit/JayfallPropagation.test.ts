/** Tests of catalogue propagation in a simulated cluster with message loss, pauses, partitions and outages of the store. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { FakeCluster, type FakeInstance } from './JayfallFakeCluster'

/** Time within which each change must reach all connected instances, and limit of their confirmation ages. */
const PROPAGATION_LIMIT_MILLISECONDS = 9000

/** Asserts that no installed revision decreases, and that no instance has a confirmation while it lacks a change that was accepted before the confirmed time. */
function createChecker (cluster: FakeCluster): () => void {
  const highest = new Map<FakeInstance, number>()
  return () => {
    for (const instance of cluster.all) {
      const { revision } = instance.node.catalogue
      assert.ok(revision >= (highest.get(instance) ?? 0), `${instance.id} went back to ${revision}`)
      highest.set(instance, revision)
      const next = cluster.store.acceptedAt.get(revision + 1)
      assert.ok(next === undefined || instance.node.confirmation.confirmedAt <= next, `${instance.id} confirmed ${revision} after ${revision + 1} was accepted`)
    }
  }
}

async function startCluster (seed: number, zones: Readonly<Record<string, number>>): Promise<FakeCluster> {
  const cluster = new FakeCluster(seed, zones)
  cluster.store.accept()
  await Promise.all(cluster.all.map(({ service }) => service.join()))
  await cluster.run(15_000)
  return cluster
}

/** Identifiers of the instances whose installed revision is lower than `revision`. */
function idsBelowRevision (cluster: FakeCluster, revision: number): readonly string[] {
  return cluster.all.filter(({ node }) => node.catalogue.revision < revision).map(({ id }) => id)
}

describe('propagation of catalogue revisions', () => {
  it('reaches every instance within 2 s, with at most 3 store reads per second and zone on average', async () => {
    const cluster = await startCluster(1, { a: 9, b: 9, c: 9 })
    const check = createChecker(cluster)
    cluster.store.readTimes = []
    for (let change = 0; change < 5; change++) {
      const revision = cluster.store.accept()
      await cluster.run(2000, check)
      assert.deepEqual(idsBelowRevision(cluster, revision), [])
    }
    assert.ok(cluster.store.readTimes.length <= 10 * 3 * 3, `${cluster.store.readTimes.length} reads in 10 s`)
  })

  for (const seed of [1, 2, 3, 4, 5]) {
    it(`reaches every instance despite lost, repeated and reordered messages (seed ${seed})`, async () => {
      const cluster = await startCluster(seed, { a: 5, b: 4 })
      const check = createChecker(cluster)
      cluster.loss = { request: 0.2, reply: 0.2, repeat: 0.3 }
      for (let change = 0; change < 10; change++) {
        const revision = cluster.store.accept()
        await cluster.run(PROPAGATION_LIMIT_MILLISECONDS, check)
        assert.deepEqual(idsBelowRevision(cluster, revision), [])
      }
    })
  }

  it('keeps the installed revision and the confirmation when the store returns stale reads', async () => {
    const cluster = await startCluster(2, { a: 3 })
    const check = createChecker(cluster)
    cluster.store.accept()
    await cluster.run(3000, check)
    cluster.store.hiddenChanges = 1
    await cluster.run(5000)
    assert.deepEqual(idsBelowRevision(cluster, cluster.store.revision), [])
  })

  it('ignores old snapshots and old changes', async () => {
    const cluster = await startCluster(2, { a: 2 })
    const old = await cluster.store.readSnapshot()
    cluster.store.accept()
    await cluster.run(3000)
    const { node } = cluster.instance('a1')
    assert.equal(node.installSnapshot(old), false)
    assert.deepEqual(node.installChanges(cluster.store.changes.slice(0, 1)), [])
    assert.equal(node.catalogue.revision, 2)
  })

  it('does not let an instance act on its old state after a pause of its process', async () => {
    const cluster = await startCluster(3, { a: 5, b: 3 })
    const check = createChecker(cluster)
    const paused = cluster.instance('a1')
    const observer = cluster.instance('a2').node.membership
    cluster.paused.add('a1')
    await cluster.run(7000, check)
    assert.ok(observer.livePeersOfZone().every(({ id }) => id !== 'a1'))
    await cluster.run(13_000, check)
    assert.ok(observer.isDead('a1'))
    const revision = cluster.store.accept()
    await cluster.run(1000, check)
    cluster.paused.delete('a1')
    paused.node.tick()
    assert.equal(paused.node.isRefreshed, false)
    assert.equal(paused.node.isZoneWriter, false)
    assert.ok(paused.node.membership.livePeersOfZone().length === 4, 'the pause must not make the others look dead')
    await cluster.run(3000, check)
    assert.equal(paused.node.catalogue.revision, revision)
    assert.equal(observer.isDead('a1'), false)
  })

  it('keeps the revision of an isolated zone while its confirmations age, and brings the zone up to date when it is connected again', async () => {
    const cluster = await startCluster(4, { a: 4, b: 4, c: 4 })
    const check = createChecker(cluster)
    cluster.isolatedZones.add('c')
    await cluster.run(1000, check)
    const revision = cluster.store.accept()
    await cluster.run(20_000, check)
    assert.deepEqual(idsBelowRevision(cluster, revision), ['c1', 'c2', 'c3', 'c4'])
    for (const { node, zone } of cluster.all) assert.equal(node.confirmation.age > PROPAGATION_LIMIT_MILLISECONDS, zone === 'c')
    cluster.isolatedZones.delete('c')
    await cluster.run(PROPAGATION_LIMIT_MILLISECONDS, check)
    assert.deepEqual(idsBelowRevision(cluster, revision), [])
    for (const { node } of cluster.all) assert.ok(node.confirmation.age < PROPAGATION_LIMIT_MILLISECONDS)
  })

  it('keeps the number of readers low and applies backoff during an outage of the store (guards against a surge of reads after the outage)', async () => {
    const cluster = await startCluster(5, { a: 20, b: 20 })
    cluster.store.isDown = true
    await cluster.run(60_000)
    const down = cluster.store.readTimes.filter(time => time > cluster.clock.monotonic() - 30_000)
    assert.ok(down.length <= 30 * 4 / 2, `${down.length} reads in 30 s of an outage`)
    cluster.store.isDown = false
    cluster.store.readTimes = []
    const revision = cluster.store.accept()
    await cluster.run(10_000)
    assert.deepEqual(idsBelowRevision(cluster, revision), [])
    const perSecond = new Map<number, number>()
    for (const time of cluster.store.readTimes) perSecond.set(Math.floor(time / 1000), (perSecond.get(Math.floor(time / 1000)) ?? 0) + 1)
    assert.ok(Math.max(...perSecond.values()) <= 8, `${Math.max(...perSecond.values())} reads in one second by 40 instances`)
  })

  it('replaces the former incarnation of a restarted instance, which installs the catalogue from a peer', async () => {
    const cluster = await startCluster(6, { a: 4 })
    const before = cluster.instance('a1')
    const restarted = cluster.add('a1', 'a')
    cluster.store.isDown = true
    await restarted.service.join()
    assert.equal(restarted.node.catalogue.revision, cluster.store.revision, 'installed from a peer while the store is down')
    await cluster.run(10_000)
    for (const { node, id } of cluster.all) {
      assert.equal(node.membership.get(before.node.membership.selfKey), undefined, `${id} still has the former incarnation`)
      assert.equal(node.membership.alive().length, 4)
    }
  })

  it('lets an instance without peers read the store itself', async () => {
    const cluster = await startCluster(7, { a: 1 })
    const revision = cluster.store.accept()
    await cluster.run(2000)
    assert.equal(cluster.instance('a1').node.catalogue.revision, revision)
  })
})
