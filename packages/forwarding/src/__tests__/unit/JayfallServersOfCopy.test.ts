/** Which servers an instance uses when the store comes back from a copy, without a network. */

import * as assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { WorkOrders, type ColdServers } from '#jayfall/capacity'
import { ManualClock } from '#jayfall/shared'

import { BackendDirectory } from '../../JayfallBackendDirectory'
import { type BackendServer } from '../../JayfallForwardingCatalogue'
import { LAPSED_ENTRY_GRACE_MILLISECONDS } from '../../JayfallForwardingConstants'
import { ForwardingState } from '../../JayfallForwardingState'
import { createColdServers, fakeServer, SERVICE, SILENT_LOG } from './JayfallDecisionFixture'

const ENTRY_LIFETIME_MILLISECONDS = 3600

describe('the list of servers of a copy', () => {
  let clock: ManualClock
  let directory: BackendDirectory
  let coldServers: ColdServers
  let state: ForwardingState

  beforeEach(() => {
    clock = new ManualClock(1000)
    directory = new BackendDirectory('valdivia')
    coldServers = createColdServers(clock, directory)
    coldServers.setPolicies(new Map([[SERVICE, { duration: 3000, requestsPerSecond: 4 }]]))
    state = new ForwardingState(directory, { coldServers, workOrders: new WorkOrders() }, clock, SILENT_LOG, ENTRY_LIFETIME_MILLISECONDS)
    state.applyServerSnapshot([read(fakeServer('i-1')), read(fakeServer('i-2'))], false)
  })

  function read (server: BackendServer): { readonly id: string, readonly server: BackendServer } {
    return { id: server.id, server }
  }

  // An entry is read up to a heartbeat after it was written, so a server may have become cold meanwhile.
  it('ends no cold time that the server itself has stated since (guards against too much load on servers that restart)', () => {
    coldServers.recordReport('i-1', SERVICE, 3000)
    state.applyServersOfCopy([read(fakeServer('i-1', { coldTime: 0 }))])
    assert.ok(coldServers.isCold('i-1'))
    state.applyServerChanges([read(fakeServer('i-1', { coldTime: 0 }))], false)
    assert.ok(coldServers.isCold('i-1'))
    clock.advance(3000)
    assert.equal(coldServers.isCold('i-1'), false)
  })

  // A server that had announced its leaving was listed as ready again, and got new requests while it stopped.
  it('shows no server as ready that has announced its leaving (guards against requests to servers that drain)', () => {
    state.applyServerChanges([read(fakeServer('i-1', { isDraining: true }))], false)
    state.applyServersOfCopy([read(fakeServer('i-1'))])
    assert.equal(directory.get('i-1')?.server.isDraining, true)
  })

  it('shows another start of that server as ready', () => {
    state.applyServerChanges([read(fakeServer('i-1', { isDraining: true, startedAt: 1 }))], false)
    state.applyServersOfCopy([read(fakeServer('i-1', { startedAt: 2 }))])
    assert.equal(directory.get('i-1')?.server.isDraining, false)
  })

  it('brings back no server that is gone (guards against requests to servers that have left)', () => {
    state.applyServerChanges([{ id: 'i-1', server: undefined }], false)
    state.applyServersOfCopy([read(fakeServer('i-1'))])
    assert.equal(directory.get('i-1'), undefined)
    clock.advance(ENTRY_LIFETIME_MILLISECONDS - 1)
    state.applyServerChanges([{ id: 'i-1', server: undefined }], false)
    clock.advance(ENTRY_LIFETIME_MILLISECONDS)
    state.updateServers()
    assert.equal(directory.get('i-1'), undefined)
  })

  it('brings back a server whose entry outlasts its silence (guards against servers that are never used again)', () => {
    state.applyServerChanges([{ id: 'i-1', server: undefined }], false)
    state.applyServersOfCopy([read(fakeServer('i-1'))])
    clock.advance(ENTRY_LIFETIME_MILLISECONDS)
    state.updateServers()
    assert.notEqual(directory.get('i-1'), undefined)
  })

  it('uses a server at once that writes its entry again, and one that has started again', () => {
    for (const id of ['i-1', 'i-2']) state.applyServerChanges([{ id, server: undefined }], false)
    state.applyServersOfCopy([read(fakeServer('i-1')), read(fakeServer('i-2', { address: '127.0.0.1:2' }))])
    state.applyServerChanges([read(fakeServer('i-1'))], false)
    assert.deepEqual(['i-1', 'i-2'].map(id => directory.get(id) !== undefined), [true, true])
  })

  it('keeps a server whose entry is missing until it could have registered again', () => {
    state.applySnapshotOfCopy([read(fakeServer('i-2'))])
    assert.equal(directory.get('i-1')?.isLapsed, true)
    clock.advance(LAPSED_ENTRY_GRACE_MILLISECONDS)
    state.updateServers()
    assert.equal(directory.get('i-1'), undefined)
  })
})
