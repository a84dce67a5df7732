/** Catalogue entries for tests, with defaults for what a test does not look at. */

import { type ServiceEntry, type VersionEntry, type WorkspaceEntry } from '#jayfall/catalogue'

import { testCallerKeyHash } from './JayfallTestSystem'

export function testVersion (id: string, changes: Partial<VersionEntry> = {}): VersionEntry {
  return {
    kind: 'version',
    id,
    model: 'guide',
    version: '1',
    owner: 'test',
    class: 'standard',
    limits: { maximumPromptTokens: 10_000, maximumOutputTokens: 10_000, concurrentRequests: 1000 },
    price: { promptPerMillionTokens: 1, outputPerMillionTokens: 2 },
    quality: 0.9,
    contextLength: 20_000,
    state: 'in-service',
    trafficShare: 100,
    whenCutOff: 'continue',
    ...changes
  }
}

export function testWorkspace (id: string, allowed: readonly string[], changes: Partial<WorkspaceEntry> = {}): WorkspaceEntry {
  return {
    kind: 'workspace',
    id,
    owner: 'test',
    allowed,
    limits: { requestsPerSecond: 1000, tokensPerSecond: 1_000_000, concurrentRequests: 1000 },
    keys: [testCallerKeyHash(id)],
    ...changes
  }
}

export function testEngineService (id: string, versions: readonly string[]): ServiceEntry {
  return { kind: 'service', id, owner: 'test', type: 'engine', versions, calls: [] }
}

/** A plain service with the call `enrol`, which may not be repeated, and the repeatable call `places`. */
export function testPlainService (id: string, outcomeLookup = true): ServiceEntry {
  return {
    kind: 'service',
    id,
    owner: 'test',
    type: 'plain',
    versions: [],
    calls: [
      { name: 'enrol', repeatable: false, price: 3, outcomeLookup },
      { name: 'places', repeatable: true, price: 0, outcomeLookup }
    ]
  }
}
