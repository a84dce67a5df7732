/** What a new era of the store costs at several sizes, and when all instances know its rows, without a network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { EraFleet, type FleetOptions } from './JayfallEraFleet'

const PAGE_ROWS = 500
/** Time after an outage within which all instances must know what the store holds, in milliseconds; set by the platform's documentation. */
const CONTACT_MILLISECONDS = 3000
/** Reading calls a second that the platform allows to all instances together. */
const STORE_READS_PER_SECOND = 2000

/** Sizes of deployments, with the rows of their lists of backend servers. */
const SIZES = [
  { instances: 3, zones: 1, rows: 6 },
  { instances: 9, zones: 4, rows: 16 },
  { instances: 195, zones: 6, rows: 300 },
  { instances: 890, zones: 16, rows: 10_000 }
]

function runFleet (options: Partial<FleetOptions> & Pick<FleetOptions, 'instances' | 'zones' | 'rows'>): EraFleet {
  const fleet = new EraFleet({ lostRows: 4, seed: 1, ...options })
  fleet.run()
  return fleet
}

describe('a new era of the store', () => {
  for (const size of SIZES) {
    const pages = Math.ceil(size.rows / PAGE_ROWS)
    describe(`at ${size.instances} instances in ${size.zones} zones`, () => {
      // Every instance read every table anew, 18,000 calls at the largest size, for which the platform allows 2,000 a second.
      it('costs one reading of the whole table (guards against a herd at the store after it came back)', () => {
        const fleet = runFleet(size)
        assert.equal(fleet.wholeReadings, 1)
        assert.equal(fleet.storePageTimes.length, pages)
        assert.ok(fleet.peerCalls < 2 * size.instances)
        assert.ok(Math.max(...fleet.finishTimes) < CONTACT_MILLISECONDS, `${Math.max(...fleet.finishTimes)} ms`)
      })

      it('costs a few readings when the root or the reader of a zone does not answer (guards against zones that all read for themselves)', () => {
        const isSilent: FleetOptions['isSilent'] = ({ selector, instance }, { root }) => instance === root.instance || (selector.roleAt(0) === 'zone_reader' && instance.zone === 'zone-1')
        const fleet = runFleet({ ...size, isSilent })
        // The root, and one instance of its zone and of zone-1 each, or all instances of a zone without a third one.
        assert.ok(fleet.wholeReadings <= 1 + 2 * Math.max(1, Math.min(3, Math.ceil(size.instances / size.zones))), `${fleet.wholeReadings} readings`)
        assert.ok(fleet.mostPagesInSecond < STORE_READS_PER_SECOND / 2, `${fleet.mostPagesInSecond} pages in a second`)
        assert.ok(Math.max(...fleet.finishTimes) < CONTACT_MILLISECONDS, `${Math.max(...fleet.finishTimes)} ms`)
      })

      it('reaches all instances in time during a rolling restart', () => {
        const isSilent: FleetOptions['isSilent'] = ({ instance }) => Number(instance.id.slice('entry-'.length)) % 5 === 0
        const fleet = runFleet({ ...size, isSilent })
        assert.ok(fleet.mostPagesInSecond < STORE_READS_PER_SECOND / 2, `${fleet.mostPagesInSecond} pages in a second`)
        assert.ok(Math.max(...fleet.finishTimes) < CONTACT_MILLISECONDS, `${Math.max(...fleet.finishTimes)} ms`)
      })

      it('spreads the readings of instances that no reader can serve, each of which reads once', () => {
        const fleet = runFleet({ ...size, isAhead: ({ selector }) => selector.roleAt(0) !== 'root' })
        assert.ok(fleet.storePageTimes.length <= size.instances * pages)
        assert.ok(fleet.mostPagesInSecond < STORE_READS_PER_SECOND, `${fleet.mostPagesInSecond} pages in a second`)
        assert.ok(fleet.finishTimes.every(Number.isFinite))
      })
    })
  }
})
