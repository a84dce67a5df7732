/** Tests of the rules on decoded configurations. Paths are decoded ones here. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { type ForwardingRoute } from '#jayfall/forwarding'

import { checkConfiguration } from '../../JayfallConfigurationCheck'
import { ConfigurationFormat, type CheckedConfiguration, type ConfigurationEntry, type ConfigurationReading } from '../../JayfallConfigurationFormat'

/** Takes documents as decoded. */
class DecodedFormat extends ConfigurationFormat {
  override readonly instanceLimits = { minimumAttempt: 30, maximumHeaderBytes: 100_000 }

  override read (document: unknown): ConfigurationReading {
    const { entries = [], ...configuration } = document as CheckedConfiguration & { readonly entries?: readonly ConfigurationEntry[] }
    return { configuration, findings: [], entries, describePath: path => path.join('.') }
  }
}

const ROUTE: ForwardingRoute = {
  name: 'guide', host: 'taller.example', prefix: '/guide/', targets: [{ service: 'guide', weight: 1 }], isStream: true, isRepeatable: true, maximumAttempts: 2, timeout: 3000, objective: 300, eventGapObjective: 300, priority: 1, models: [], isPublic: false
}
const SERVICE = { name: 'guide', healthPath: '/health' }
const WORKSPACE = { name: 'taller', priority: 1, keys: ['key-1'] }
const LIMITS = { headerBytes: 16_384, bodyBytes: 65_536, headerTimeout: 3000, idleTimeout: 15_000 }
const VALID: CheckedConfiguration = { version: 1, routes: [ROUTE], services: [SERVICE], workspaces: [WORKSPACE], limits: LIMITS }

/** Returns findings as `severity kind path`. */
function find (change: Partial<CheckedConfiguration>): readonly string[] {
  return checkConfiguration(new DecodedFormat(), { name: 'new', content: { ...VALID, ...change } }).findings.map(({ severity, kind, path }) => `${severity} ${kind} ${path}`)
}

const findInRoute = (change: Partial<ForwardingRoute>): readonly string[] => find({ routes: [{ ...ROUTE, ...change }] })
const findInLimits = (change: Partial<CheckedConfiguration['limits']>): readonly string[] => find({ limits: { ...LIMITS, ...change } })
const findInColdService = (duration?: number, requestsPerSecond?: number): readonly string[] => find({ services: [{ ...SERVICE, cold: { duration, requestsPerSecond } }] })

describe('the check of a configuration', () => {
  it('finds nothing in a valid one (guards against false alarms)', () => {
    assert.deepEqual(find({}), [])
    assert.deepEqual(findInColdService(3000, 14), [])
    assert.deepEqual(find({ routes: [ROUTE, { ...ROUTE, name: 'longer', prefix: '/guide/long/' }, { ...ROUTE, name: 'other', host: 'other.example' }] }), [])
  })

  describe('of entries that never match', () => {
    it('finds shadowed routes and those that no request can reach (guards against routes that silently do nothing)', () => {
      assert.deepEqual(find({ routes: [ROUTE, { ...ROUTE, name: 'second', isPublic: true }, { ...ROUTE, name: 'third' }] }), ['warning never-matches routes.1', 'warning never-matches routes.2'])
      for (const host of ['', 'taller.example:8080', '*.example', '[::1]', 'http://taller.example']) assert.deepEqual(findInRoute({ host }), ['warning never-matches routes.0.host'], host)
      for (const prefix of ['', 'guide/', '/guide?x=1', '/a b/']) assert.deepEqual(findInRoute({ prefix }), ['warning never-matches routes.0.prefix'], prefix)
    })

    it('finds keyed routes without keys, workspaces without keys, and keys that cannot be sent', () => {
      assert.deepEqual(find({ workspaces: [] }), ['warning never-matches routes.0'])
      assert.deepEqual(find({ workspaces: [], routes: [{ ...ROUTE, isPublic: true }] }), [])
      assert.deepEqual(find({ workspaces: [WORKSPACE, { ...WORKSPACE, name: 'empty', keys: [] }] }), ['warning never-matches workspaces.1'])
      assert.deepEqual(find({ workspaces: [{ ...WORKSPACE, keys: ['key-1', '', 'a b'] }] }), ['warning never-matches workspaces.0.keys.1', 'warning never-matches workspaces.0.keys.2'])
    })

    it('finds targets of weight 0 and services that no route uses', () => {
      assert.deepEqual(findInRoute({ targets: [{ service: 'guide', weight: 0 }, { service: 'guide', weight: 1 }] }), ['warning never-matches routes.0.targets.0.weight'])
      assert.deepEqual(find({ services: [SERVICE, { ...SERVICE, name: 'spare' }] }), ['warning never-matches services.1'])
    })
  })

  describe('of targets, names and keys', () => {
    it('finds services that do not exist and routes without one (guards against routes whose requests all fail)', () => {
      assert.deepEqual(findInRoute({ targets: [{ service: 'guide', weight: 1 }, { service: 'gide', weight: 1 }] }), ['error invalid routes.0.targets.1.service'])
      assert.deepEqual(findInRoute({ targets: [{ service: '', weight: 1 }] }), ['error invalid routes.0.targets.0.service', 'warning never-matches services.0'])
      assert.deepEqual(findInRoute({ targets: [] }), ['error invalid routes.0.targets', 'warning never-matches services.0'])
      assert.deepEqual(findInRoute({ targets: [{ service: 'guide', weight: 0 }, { service: 'guide', weight: 0 }] }), ['warning contradiction routes.0.targets'])
    })

    it('names the entry that instances ignore when two are the same', () => {
      assert.deepEqual(find({ services: [SERVICE, { ...SERVICE, healthPath: '/other' }, SERVICE] }), ['error invalid services.0', 'error invalid services.1'])
      assert.deepEqual(find({ services: [{ ...SERVICE, healthPath: 'health' }] }), ['error invalid services.0.healthPath'])
      assert.deepEqual(find({ routes: [ROUTE, { ...ROUTE, prefix: '/other/' }] }), ['warning contradiction routes.1.name'])
    })

    it('finds a key of two workspaces and does not show it (guards against requests billed to the wrong workspace)', () => {
      const workspaces = [WORKSPACE, { ...WORKSPACE, name: 'second' }]
      assert.deepEqual(find({ workspaces }), ['error invalid workspaces.0.keys.0'])
      assert.doesNotMatch(JSON.stringify(checkConfiguration(new DecodedFormat(), { name: 'new', content: { ...VALID, workspaces } })), /key-1/)
      assert.deepEqual(find({ workspaces: [{ ...WORKSPACE, keys: ['key-1', 'key-1'] }] }), ['warning contradiction workspaces.0.keys.1'])
      assert.deepEqual(find({ workspaces: [WORKSPACE, { ...WORKSPACE, keys: ['key-2'] }] }), ['warning contradiction workspaces.1.name'])
    })

    it('warns that requests need no key when workspaces are missing (guards against routes opened by mistake)', () => {
      assert.deepEqual(find({ workspaces: undefined }), ['warning contradiction workspaces'])
      assert.deepEqual(find({ workspaces: undefined, routes: [{ ...ROUTE, isPublic: true }] }), [])
    })
  })

  describe('of limits that contradict each other', () => {
    it('finds times and attempts of a route that cannot hold together', () => {
      assert.deepEqual(findInRoute({ timeout: 29, objective: 20, eventGapObjective: 20 }), ['error invalid routes.0.timeout'])
      assert.deepEqual(findInRoute({ timeout: 30, objective: 30, eventGapObjective: 30 }), [])
      assert.deepEqual(findInRoute({ objective: 3001, eventGapObjective: 3001 }), ['warning contradiction routes.0.objective'])
      assert.deepEqual(findInRoute({ eventGapObjective: 3001 }), ['warning contradiction routes.0.eventGapObjective'])
      assert.deepEqual(findInRoute({ isRepeatable: false }), ['warning contradiction routes.0.maximumAttempts'])
      assert.deepEqual(findInRoute({ isRepeatable: false, maximumAttempts: 1 }), [])
    })

    it('finds priorities out of range, of routes and workspaces', () => {
      for (const priority of [-1, 10, 1.5]) {
        assert.deepEqual(findInRoute({ priority }), ['warning contradiction routes.0.priority'])
        assert.deepEqual(find({ workspaces: [{ ...WORKSPACE, priority }] }), ['warning contradiction workspaces.0.priority'])
      }
      for (const priority of [0, 9]) assert.deepEqual(findInRoute({ priority }), [])
    })

    it('finds a cold rate without effect', () => {
      assert.deepEqual(findInColdService(undefined, 14), ['warning contradiction services.0.cold.requestsPerSecond'])
      assert.deepEqual(findInColdService(3000), ['warning contradiction services.0.cold.duration'])
      assert.deepEqual(findInColdService(0, 14), ['warning contradiction services.0.cold.duration'])
      assert.deepEqual(findInColdService(3000, 0), ['warning contradiction services.0.cold.requestsPerSecond'])
      assert.deepEqual(findInColdService(3_600_001, 14), ['warning contradiction services.0.cold.duration'])
    })

    it('finds limits for callers that exclude each other or refuse all requests', () => {
      assert.deepEqual(findInLimits({ bodyBytes: 16_383 }), ['warning contradiction limits.bodyBytes'])
      assert.deepEqual(findInLimits({ idleTimeout: 2999 }), ['warning contradiction limits.idleTimeout'])
      assert.deepEqual(findInLimits({ headerBytes: 100_001, bodyBytes: 200_000 }), ['warning contradiction limits.headerBytes'])
      assert.deepEqual(findInLimits({ headerTimeout: 0, idleTimeout: 0 }), ['warning contradiction limits.headerTimeout', 'warning contradiction limits.idleTimeout'])
      assert.deepEqual(findInLimits({ headerBytes: 0 }), ['error invalid limits.headerBytes'])
      assert.deepEqual(findInLimits({ headerTimeout: -1, idleTimeout: -1 }), ['error invalid limits.headerTimeout', 'error invalid limits.idleTimeout'])
    })
  })

  describe('against the version in force', () => {
    const entry = (name: string, fields: ConfigurationEntry['fields'], secrets = {}): ConfigurationEntry => ({ section: 'routes', name, path: name, fields, secrets })

    function compare (version: number, before: readonly ConfigurationEntry[], after: readonly ConfigurationEntry[]) {
      return checkConfiguration(new DecodedFormat(), { name: 'new', content: { ...VALID, version, entries: after } }, { name: 'old', content: { ...VALID, version: 7, entries: before } })
    }

    it('is an error unless the version is higher (guards against a configuration that all instances ignore)', () => {
      assert.deepEqual([6, 7, 8].map(version => compare(version, [], []).findings.map(({ path }) => path)), [['version'], ['version'], []])
    })

    it('lists added, removed and changed entries field by field, and secrets by number only', () => {
      const report = compare(8,
        [entry('a', { limit: 1, nested: { x: 1, y: 1 } }, { keys: ['one', 'two'] }), entry('b', {}), entry('twice', { n: 1 }), entry('twice', { n: 2 })],
        [entry('c', { limit: 3 }), entry('a', { limit: 2, nested: { x: 1 }, more: '\u009b' }, { keys: ['three', 'one'] }), entry('twice', { n: 1 })])
      assert.deepEqual([...report.lines()], [
        'differences between version 7, in force, and 8:',
        '  removed b ("b"): {}',
        '  removed twice ("twice"): {"n":2}',
        '  added   c ("c"): {"limit":3}',
        '  changed a.limit ("a"): 1 -> 2',
        '  changed a.more ("a"): not set -> "\\u009b"',
        '  changed a.nested.y ("a"): 1 -> not set',
        '  changed a.keys ("a"): "2 hidden values" -> "2 hidden values (1 added, 1 removed)"',
        'new: 0 errors, 0 warnings'
      ])
      assert.doesNotMatch(JSON.stringify(report), /one|two|three/)
    })
  })
})
