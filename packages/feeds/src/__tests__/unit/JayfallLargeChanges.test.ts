/** Tests of large rows, which a reader must not send to all instances of its zone, without a network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { gzipSync } from 'node:zlib'

import { ManualClock } from '#jayfall/shared'

import { ChangesServer } from '../../JayfallChangesServer'
import { FeedHistory } from '../../JayfallFeedHistory'
import { FeedSubscribers } from '../../JayfallFeedSubscribers'
import { DEFAULT_FEED_LIMITS, deriveFeedTimings } from '../../JayfallFeedTimings'
import { decodeChange } from '../../JayfallRelayedChange'
import { at, createChange, createReading } from './JayfallFeedFixture'

/** A configuration with 1,800 routes. */
const LARGE_VALUE = { routes: Array.from({ length: 1800 }, (_, index) => ({ name: `route-${index}`, prefix: `/path-${index}/` })) }
/** Maximum size of a reply to one instance; a link of 7 Mbit/s delivers this size to 20 instances within a fifth of a second. */
const MAXIMUM_ANSWER_BYTES = 9000

function createServer (value: unknown, link?: number): ChangesServer {
  const history = new FeedHistory()
  history.replace(createReading(at(10)), 0)
  history.append(at(10), createReading(at(11), [createChange('config', 11, value)]), 0)
  return new ChangesServer({ histories: new Map([['op', history]]), subscribers: new FeedSubscribers(), timingsOf: () => deriveFeedTimings(DEFAULT_FEED_LIMITS), link, clock: new ManualClock(0), refresh: () => {}, readRows: () => Promise.reject(new Error('no store')) })
}

describe('ChangesServer', () => {
  // Failure: a reader sent a configuration with 1,841 routes to 18 instances over a narrow link, and all of their calls timed out.
  it('does not send a large row to the instances of its zone (guards against a reader whose link is the bottleneck)', async () => {
    const reply = await createServer(LARGE_VALUE).answer({ tables: { op: at(10) }, wait: 100, latestEra: 1, acceptsRows: false })
    assert.ok(JSON.stringify(reply).length < MAXIMUM_ANSWER_BYTES, `${JSON.stringify(reply).length} bytes`)
  })

  it('replies immediately when there is a large row (guards against instances that never receive it)', async () => {
    const reply = await createServer(LARGE_VALUE).answer({ tables: { op: at(10) }, wait: 100, latestEra: 1, acceptsRows: false })
    assert.notEqual(reply.op.kind === 'changes' && reply.op.reading.revision === 11, true)
  })

  // Failure: twenty configurations of 14 KB in quick succession saturated the links of the zones' readers, and the readers' streams broke off.
  it('compresses rows that it sends (guards against a saturated link of the reader when configurations change in quick succession)', async () => {
    const value = { routes: LARGE_VALUE.routes.slice(0, 200) }
    const { op } = await createServer(value).answer({ tables: { op: at(10) }, wait: 100, latestEra: 1, acceptsRows: false })
    assert.ok(op.kind === 'changes' && JSON.stringify(op).length < JSON.stringify(value).length / 3)
    assert.deepEqual(op.reading.changes.map(decodeChange), [createChange('config', 11, value)])
  })

  // Every instance read each version of a long configuration from the store, because no reader passed it on.
  it('sends a large row over a wide link (guards against reads of the store that grow with the number of instances)', async () => {
    const { op } = await createServer(LARGE_VALUE, 140).answer({ tables: { op: at(10) }, wait: 100, latestEra: 1, acceptsRows: false })
    assert.ok(op.kind === 'changes')
    assert.deepEqual(op.reading.changes.map(decodeChange), [createChange('config', 11, LARGE_VALUE)])
  })

  it('sends small rows', async () => {
    const { op } = await createServer({ routes: [] }).answer({ tables: { op: at(10) }, wait: 100, latestEra: 1, acceptsRows: false })
    assert.equal(op.kind === 'changes' ? op.reading.changes.length : undefined, 1)
  })

  // Failure: some kilobytes from another instance could become any number of megabytes.
  it('does not unpack a value beyond what readers send (guards against a process that ends for want of memory)', () => {
    const packed = gzipSync(JSON.stringify('x'.repeat(64 * 1024 * 1024))).toString('base64')
    assert.throws(() => decodeChange({ key: 'config', revision: 1, value: undefined, packed }), RangeError)
  })
})
