import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { reportPropagation, type PropagationQuestion } from '../../JayfallPropagationReport'
import { type LaggingInstance, type ZoneStatus } from '../../JayfallZoneStatus'

const NOW = 1_000_000

function row (zone: string, lowestRevision: number, lagging: readonly LaggingInstance[] = [], age = 1000): ZoneStatus {
  return { zone, writtenAt: NOW - age, writer: `${zone}1`, members: 3, leaving: [], highestRevision: 5, lowestRevision, lagging }
}

function ask (rows: readonly ZoneStatus[], changes: Partial<PropagationQuestion> = {}) {
  return reportPropagation({ revision: 5, zones: [], rows, now: NOW, stopsAfter: 9000, ...changes })
}

describe('the report of where a revision is in force', () => {
  it('guards against a zone that counts as done while an instance lacks the revision, and states its remaining time', () => {
    const [zone] = ask([row('a', 4, [{ id: 'a2', state: 'suspect', revision: 4, confirmationAge: 6000 }])])
    assert.equal(zone.state, 'missing')
    assert.deepEqual(zone.missing, [{ id: 'a2', state: 'suspect', revision: 4, mayContinue: 2000 }])
  })

  it('guards against missing instances that are dead and so not in the lowest revision', () => {
    assert.equal(ask([row('a', 5, [{ id: 'a2', state: 'dead', revision: 4, confirmationAge: 20_000 }])])[0].state, 'missing')
  })

  it('guards against trust in an old row, and in a zone that has never reported', () => {
    assert.deepEqual(ask([row('a', 5, [], 16_000)], { zones: ['b'] }).map(({ zone, state, mayContinue }) => [zone, state, mayContinue]),
      [['a', 'unreported', 9000], ['b', 'unreported', 9000]])
  })

  it('guards against a limit that does not exist: versions that continue when cut off have none', () => {
    const [zone] = ask([row('a', 4, [{ id: 'a2', state: 'alive', revision: 4, confirmationAge: 0 }])], { stopsAfter: undefined })
    assert.equal(zone.missing[0].mayContinue, undefined)
  })

  it('says in force when every instance has the revision, old confirmations included', () => {
    assert.equal(ask([row('a', 5, [{ id: 'a2', state: 'alive', revision: 5, confirmationAge: 8000 }])])[0].state, 'in-force')
  })
})
