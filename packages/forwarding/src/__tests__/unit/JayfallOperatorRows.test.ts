/** Tests of evacuations of zones, from the operators' rows to the servers that requests are sent to. */

import * as assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { type TableChange } from '#jayfall/store'

import { DeploymentSource, type OperatorRow } from '../../JayfallDeploymentSource'
import { OperatorRows } from '../../JayfallOperatorRows'
import { planRequest } from '../../JayfallRelayPlan'
import { DecisionFixture, fakeFields, fakeRoute, fakeServer, SERVICE, SILENT_LOG } from './JayfallDecisionFixture'

class EvacuationSource extends DeploymentSource {
  override readonly operatorTable = 'op'
  override readonly serverTable = 'servers'

  override readOperatorRow (key: string): OperatorRow {
    return { kind: 'evacuation', zone: key }
  }

  override readServerRow (): undefined {}

  override createStatusWrite (): never {
    throw new Error('no rollout is in progress')
  }
}

describe('OperatorRows', () => {
  let fixture: DecisionFixture
  let rows: OperatorRows

  beforeEach(() => {
    fixture = new DecisionFixture([fakeServer('near-1', { zone: 'valdivia' }), fakeServer('far-1', { zone: 'osorno' })])
    rows = new OperatorRows({ source: new EvacuationSource(), evacuations: fixture.evacuations, directory: fixture.directory, log: SILENT_LOG })
  })

  function read (kind: 'snapshot' | 'changes', changes: Readonly<Record<string, unknown>>, isNewEra = false): void {
    const position = { era: isNewEra ? 2 : 1, revision: 1 }
    const listed: readonly TableChange[] = Object.entries(changes).map(([key, value]) => ({ key, value, position }))
    rows.apply({ kind, rows: listed, position, isNewEra })
  }

  function selectZone (): string | undefined {
    const request = { service: SERVICE, requestId: 'r', priority: 0, objective: 100, model: undefined, promptTokens: 0, outputTokens: 0, promptParts: [], triedServers: new Set<string>(), allowsVersion: () => true }
    return fixture.selector.select(request, fixture.clock.monotonic())?.row.server.zone
  }

  describe('evacuations', () => {
    it('keep all requests away from the zone until the row is removed', () => {
      read('changes', { valdivia: {} })
      assert.equal(selectZone(), 'osorno')
      read('changes', { valdivia: undefined })
      assert.equal(selectZone(), 'valdivia')
    })

    it('end when a whole reading does not list them (guards against zones that stay empty after an outage of the store)', () => {
      read('changes', { valdivia: {} })
      read('snapshot', {})
      assert.equal(selectZone(), 'valdivia')
    })

    it('stay in force when the store comes back from a copy without them', () => {
      read('changes', { valdivia: {} })
      read('snapshot', {}, true)
      assert.equal(selectZone(), 'osorno')
    })

    // An instance that has lost the history of the table reads it as a whole again.
    it('that a copy lacks stay in force until their row is written and removed again (guards against requests to a zone that operators left evacuated)', () => {
      for (const kind of ['snapshot', 'changes'] as const) {
        read('changes', { valdivia: {} })
        read(kind, kind === 'changes' ? { valdivia: undefined } : {}, true)
        read('snapshot', {})
        assert.equal(selectZone(), 'osorno')
        read('snapshot', { valdivia: {} })
        read('snapshot', {})
        assert.equal(selectZone(), 'valdivia')
      }
    })

    it('that a copy holds end with the next whole reading without them', () => {
      read('changes', { valdivia: {} })
      read('changes', {}, true)
      read('snapshot', {})
      assert.equal(selectZone(), 'valdivia')
    })

    it('of a zone without servers change nothing for the others', () => {
      read('changes', { chiloe: {} })
      assert.equal(selectZone(), 'valdivia')
    })

    it('of all zones refuse requests (guards against evacuations that are ignored when no other server is left)', () => {
      read('changes', { valdivia: {}, osorno: {} })
      const { value } = planRequest(fixture.context(fakeRoute())).next()
      assert.deepEqual([(value as { readonly kind: string }).kind, (value as { readonly code?: string }).code], ['refuse', 'servers_evacuated'])
    })
  })

  it('names no evacuation when other servers are only out of reach (guards against callers that are kept away for seconds)', () => {
    read('changes', { valdivia: {} })
    for (let failure = 0; failure < 2; failure++) fixture.directory.recordUnreachable('far-1', fixture.clock.monotonic())
    const { value } = planRequest(fixture.context(fakeRoute())).next()
    assert.equal((value as { readonly code?: string }).code, 'no_server')
  })

  describe('cold servers', () => {
    beforeEach(() => {
      fixture.coldServers.setPolicies(new Map([[SERVICE, { duration: 3000, requestsPerSecond: 4 }]]))
      for (const server of ['near-1', 'far-1']) fixture.coldServers.recordReport(server, SERVICE, 3000)
      while (fixture.coldServers.maySend('near-1')) fixture.coldServers.recordSent('near-1')
    })

    it('without a share leave the request to others', () => {
      assert.equal(selectZone(), 'osorno')
    })

    it('make a request wait for the next share, and refuse it when that would miss its objective', () => {
      while (fixture.coldServers.maySend('far-1')) fixture.coldServers.recordSent('far-1')
      const patient = planRequest(fixture.context(fakeRoute({ objective: 2000 }), fakeFields()))
      const first = patient.next().value
      assert.equal((first as { readonly kind: string }).kind, 'wait')
      fixture.clock.advance((first as { readonly plan: { readonly duration: number } }).plan.duration)
      assert.equal((patient.next({ kind: 'waited' }).value as { readonly kind: string }).kind, 'attempt')
      while (fixture.coldServers.maySend('near-1')) fixture.coldServers.recordSent('near-1')
      while (fixture.coldServers.maySend('far-1')) fixture.coldServers.recordSent('far-1')
      const { value } = planRequest(fixture.context(fakeRoute({ objective: 100 }), fakeFields())).next()
      assert.equal((value as { readonly code?: string }).code, 'servers_cold')
    })
  })
})
