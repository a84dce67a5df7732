/** Tests of the report of the zones and instances that have not installed a revision. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { reportPropagation, type PropagationQuery } from '../../JayfallPropagationReport'
import { type LaggingInstance, type ZoneStatus } from '../../JayfallZoneStatus'

const NOW = 1_000_000

function createRow (zone: string, lowestRevision: number, lagging: readonly LaggingInstance[] = [], age = 1000): ZoneStatus {
  return { zone, writtenAt: NOW - age, writer: `${zone}1`, members: 3, leaving: [], highestRevision: 5, lowestRevision, lagging }
}

function report (rows: readonly ZoneStatus[], changes: Partial<PropagationQuery> = {}) {
  return reportPropagation({ revision: 5, zones: [], rows, now: NOW, stopsAfter: 9000, ...changes })
}

describe('reportPropagation', () => {
  it('reports an instance without the revision and the time for which it may continue', () => {
    const [zone] = report([createRow('a', 4, [{ id: 'a2', state: 'suspect', revision: 4, confirmationAge: 6000 }])])
    assert.equal(zone.state, 'missing')
    assert.deepEqual(zone.missing, [{ id: 'a2', state: 'suspect', revision: 4, mayContinue: 2000 }])
  })

  it('reports dead instances without the revision, which do not count in the lowest revision', () => {
    assert.equal(report([createRow('a', 5, [{ id: 'a2', state: 'dead', revision: 4, confirmationAge: 20_000 }])])[0].state, 'missing')
  })

  it('reports zones with an old row or without a row as unreported', () => {
    assert.deepEqual(report([createRow('a', 5, [], 16_000)], { zones: ['b'] }).map(({ zone, state, mayContinue }) => [zone, state, mayContinue]),
      [['a', 'unreported', 9000], ['b', 'unreported', 9000]])
  })

  it('reports no time limit for versions that continue when cut off', () => {
    const [zone] = report([createRow('a', 4, [{ id: 'a2', state: 'alive', revision: 4, confirmationAge: 0 }])], { stopsAfter: undefined })
    assert.equal(zone.missing[0].mayContinue, undefined)
  })

  it('reports a zone as in force when every instance has the revision, also with old confirmations', () => {
    assert.equal(report([createRow('a', 5, [{ id: 'a2', state: 'alive', revision: 5, confirmationAge: 8000 }])])[0].state, 'in-force')
  })
})
