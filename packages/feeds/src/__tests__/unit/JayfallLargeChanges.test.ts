/** Large rows, which a reader must not carry to its whole zone; no network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { ManualClock } from '#jayfall/shared'

import { ChangesServer } from '../../JayfallChangesServer'
import { FeedHistory } from '../../JayfallFeedHistory'
import { ReaderChoice } from '../../JayfallReaderChoice'
import { unpackChange } from '../../JayfallRelayedChange'

/** A configuration of 1,800 routes. */
const LARGE_VALUE = { routes: Array.from({ length: 1800 }, (_, index) => ({ name: `route-${index}`, prefix: `/path-${index}/` })) }
/** What an answer to one of a zone's instances may take: 20 of them over 7 Mbit/s within a fifth of a second. */
const MAXIMUM_ANSWER_BYTES = 9000

function createServer (value: unknown): ChangesServer {
  const history = new FeedHistory()
  history.begin(10, 0, 0)
  history.take(10, { changes: [{ key: 'config', revision: 11, value }], revision: 11, storeTime: 0 }, 0)
  return new ChangesServer(new Map([['op', history]]), new ReaderChoice('entry-0', 'valdivia'), new ManualClock(0))
}

describe('ChangesServer', () => {
  // CONFIG on smritivan-ops-grown: the reader sent a configuration of 1,841 routes to 18 instances over its thin link, and all of their calls timed out.
  it('does not send a large row to the instances of its zone (guards against a reader whose link is the bottleneck)', async () => {
    const reply = await createServer(LARGE_VALUE).answer({ tables: { op: 10 }, wait: 100 })
    assert.ok(JSON.stringify(reply).length < MAXIMUM_ANSWER_BYTES, `${JSON.stringify(reply).length} bytes`)
  })

  it('says at once that there is a large row (guards against instances that never hear of it)', async () => {
    const reply = await createServer(LARGE_VALUE).answer({ tables: { op: 10 }, wait: 100 })
    assert.notEqual(reply.op.kind === 'changes' && reply.op.reading.revision === 11, true)
  })

  // LOST and CONFIG on smritivan-ops-grown: twenty configurations of 14 KB in quick succession filled the links of the zones' readers, whose streams then broke off.
  it('compresses what it sends to many instances (guards against readers whose link is full while configurations come in quick succession)', async () => {
    const value = { routes: LARGE_VALUE.routes.slice(0, 200) }
    const { op } = await createServer(value).answer({ tables: { op: 10 }, wait: 100 })
    assert.ok(op.kind === 'changes' && JSON.stringify(op).length < JSON.stringify(value).length / 3)
    assert.deepEqual(op.reading.changes.map(unpackChange), [{ key: 'config', revision: 11, value }])
  })

  it('sends small rows as before', async () => {
    const { op } = await createServer({ routes: [] }).answer({ tables: { op: 10 }, wait: 100 })
    assert.equal(op.kind === 'changes' ? op.reading.changes.length : undefined, 1)
  })
})
