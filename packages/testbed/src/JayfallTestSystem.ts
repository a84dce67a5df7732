/**
 * A small whole system of real processes on loopback addresses: the platform, backend servers
 * and entry instances, each reached through a link of the fault proxy.
 *
 * Each entry instance has an IP address of its own, so that the proxy can apply
 * faults to what comes from one instance or one zone.
 */

import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'

import { createHash } from 'node:crypto'

import Wreck from '@hapi/wreck'
import { entryKey, parseEntry, type CatalogueEntry, type ServerEntry } from '#jayfall/catalogue'
import { CatalogueStore, HttpTableStore, PlatformHttp } from '#jayfall/store'
import { delay } from '#jayfall/shared'
import { type LinkFaultChange, type PlatformFaults } from '#jayfall/standins'

import { createTestAddress, findFreePort, TestProcess } from './JayfallTestProcess'

/** A backend server of the system. */
export interface TestServer {
  readonly id: string
  readonly zone: string
  readonly service: string
  readonly type: 'engine' | 'plain'
  readonly checksFencing?: boolean
  /** Further arguments of the stand-in. */
  readonly options?: readonly string[]
}

/** An entry instance of the system. */
export interface TestEntry {
  readonly id: string
  readonly zone: string
  /** Compiled program and its first arguments, in place of the shipped executable; for counter-proofs. */
  readonly program?: readonly string[]
  /** Lines of further settings by section. */
  readonly settings?: Readonly<Record<string, Readonly<Record<string, string>>>>
}

export interface TestSystemSettings {
  readonly servers: readonly TestServer[]
  readonly entries: readonly TestEntry[]
  /** Catalogue entries besides those of the servers. */
  readonly catalogue: readonly CatalogueEntry[]
  readonly seed?: number
  /** The program of the entry instances; a counter-proof starts one with a mechanism replaced. */
  readonly entryProgram?: readonly string[]
}

/** The caller key of a workspace in tests. */
export function testCallerKey (workspace: string): string {
  return `key-of-${workspace}`
}

/** The hash of `testCallerKey`, for the workspace's catalogue entry. */
export function testCallerKeyHash (workspace: string): string {
  return createHash('sha256').update(testCallerKey(workspace)).digest('hex')
}

export const TEST_OPERATOR_KEY = 'key-of-the-operator'

const SEAL_PASSWORD = 'first:a-password-for-tests-of-more-than-32-characters'
const REGION = 'test-region'
const CATALOGUE_TIMEOUT_MILLISECONDS = 15_000

interface RunningEntry {
  readonly entry: TestEntry
  readonly host: string
  readonly callersPort: number
  readonly peersPort: number
  readonly settingsFile: string
  /** Absent until the catalogue is written. */
  process?: TestProcess
}

/** A running system. */
export class TestSystem {
  private readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), 'jayfall-test-'))
  private readonly standIns = new Map<string, TestProcess>()
  private readonly ports = new Map<string, number>()
  private readonly running = new Map<string, RunningEntry>()
  private links: readonly string[] = []
  /** Address of the stand-ins and the proxy. */
  private readonly host = createTestAddress()

  private constructor (private readonly settings: TestSystemSettings) {}

  /** Starts all processes, writes the catalogue and waits until every instance is ready. */
  static async start (settings: TestSystemSettings): Promise<TestSystem> {
    const system = new TestSystem(settings)
    try {
      await system.startAll()
    } catch (error) {
      await system.stop()
      throw error
    }
    return system
  }

  /** Address of the callers' listener of an instance. */
  callersAddress (entry: string): string {
    const { host, callersPort } = this.runningEntry(entry)
    return `${host}:${callersPort}`
  }

  entryHost (entry: string): string {
    return this.runningEntry(entry).host
  }

  entryProcess (entry: string): TestProcess {
    return this.found(this.runningEntry(entry).process, entry)
  }

  /** A stand-in's process: `platform`, `proxy` or a server's identifier. */
  standInProcess (name: string): TestProcess {
    return this.found(this.standIns.get(name), name)
  }

  /** Direct address of a stand-in, past the proxy. */
  directAddress (name: string): string {
    return `${this.host}:${this.found(this.ports.get(name), name)}`
  }

  /** Address of a stand-in's link through the proxy. */
  linkAddress (name: string): string {
    return `${this.host}:${this.found(this.ports.get(`link-${name}`), name)}`
  }

  /** Starts an instance again after its end, with the same settings. */
  async restartEntry (id: string): Promise<void> {
    const running = this.runningEntry(id)
    await running.process?.stop('SIGKILL')
    running.process = this.spawnEntry(running)
    await this.waitUntilReady(id)
  }

  /** Writes an instance's settings file anew with other values, as an operator would. */
  changeSettings (id: string, changes: TestEntry['settings']): void {
    const running = this.runningEntry(id)
    fs.writeFileSync(running.settingsFile, this.formatSettings({ ...running, entry: { ...running.entry, settings: { ...running.entry.settings, ...changes } } }))
  }

  /** Changes the faults of a link: `platform`, a server's identifier, or `peer-` and an entry's. */
  async changeLink (name: string, change: LinkFaultChange): Promise<void> {
    await this.post(`${this.directAddress('proxy')}/links/${name}`, change)
  }

  async changePlatform (faults: Partial<PlatformFaults>): Promise<void> {
    await this.post(`${this.directAddress('platform')}/control`, faults)
  }

  /** Changes a backend server's behaviour; see its stand-in's `/control`. */
  async changeServer (id: string, change: object): Promise<void> {
    await this.post(`${this.directAddress(id)}/control`, change)
  }

  /** Reads JSON from a stand-in, past the proxy. */
  async readStandIn<Value> (name: string, route: string): Promise<Value> {
    const { payload } = await Wreck.get(`http://${this.directAddress(name)}${route}`, { json: true })
    return payload as Value
  }

  /** Runs `work` with the catalogue in the store, past the proxy. */
  async withCatalogue<Result> (work: (store: CatalogueStore) => Promise<Result>): Promise<Result> {
    const http = new PlatformHttp({ address: this.directAddress('platform') })
    try {
      return await work(new CatalogueStore(new HttpTableStore(http)))
    } finally {
      http.close()
    }
  }

  /** Writes an entry over whatever the catalogue holds, and returns its revision. */
  async putEntry (entry: CatalogueEntry): Promise<number> {
    return await this.withCatalogue(async store => {
      const key = entryKey(entry)
      const basedOn = (await store.readEntry(key))?.revision ?? 0
      return await store.write({ key, entry: parseEntry(entry), basedOn, writer: 'test' })
    })
  }

  /** Ends all processes. */
  async stop (): Promise<void> {
    await Promise.all([...this.running.values()].map(({ process }) => process?.stop('SIGKILL')))
    await Promise.all([...this.standIns.values()].map(process => process.stop('SIGKILL')))
    fs.rmSync(this.directory, { recursive: true, force: true })
  }

  private async startAll (): Promise<void> {
    const { servers, entries, seed } = this.settings
    await this.reservePorts()
    const starts = [this.startStandIn('platform', ['platform', '--seed', String(seed ?? 1)])]
    for (const server of servers) starts.push(this.startStandIn(server.id, serverArguments(server)))
    await Promise.all(starts)
    const links = [...['platform', ...servers.map(({ id }) => id)].map(name => this.linkArgument(name, this.host)),
      ...entries.map(({ id }) => this.peerLinkArgument(id))]
    await this.startStandIn('proxy', ['proxy', ...links])
    await this.writeCatalogue()
    for (const { id } of entries) this.runningEntry(id).process = this.spawnEntry(this.runningEntry(id))
    await Promise.all(entries.map(({ id }) => this.waitUntilReady(id)))
  }

  private async reservePorts (): Promise<void> {
    const names = ['platform', 'proxy', ...this.settings.servers.map(({ id }) => id)]
    this.links = ['platform', ...this.settings.servers.map(({ id }) => id), ...this.settings.entries.map(({ id }) => `peer-${id}`)]
    for (const name of [...names, ...this.links.map(link => `link-${link}`)]) this.ports.set(name, await findFreePort(this.host))
    for (const entry of this.settings.entries) {
      const host = createTestAddress()
      this.running.set(entry.id, { entry, host, callersPort: await findFreePort(host), peersPort: await findFreePort(host), settingsFile: path.join(this.directory, `${entry.id}.ini`) })
    }
  }

  private async startStandIn (name: string, programArguments: readonly string[]): Promise<void> {
    const [kind, ...rest] = programArguments
    const standIn = new TestProcess(name, 'standins/src/main.js', [kind, '--host', this.host, '--port', String(this.ports.get(name)), ...rest])
    this.standIns.set(name, standIn)
    await standIn.waitForOutput('state=ready')
  }

  private spawnEntry (running: RunningEntry): TestProcess {
    fs.writeFileSync(running.settingsFile, this.formatSettings(running))
    const { id, program = this.settings.entryProgram ?? ['command/src/main.js'] } = running.entry
    const [script, ...programArguments] = program
    return new TestProcess(id, script, [...programArguments, 'entry', '--settings', running.settingsFile])
  }

  private formatSettings ({ entry, host, callersPort, peersPort }: RunningEntry): string {
    const seeds = this.settings.entries.filter(({ id }) => id !== entry.id).map(({ id }) => this.linkAddress(`peer-${id}`))
    const sections: Record<string, Record<string, string>> = {
      instance: { id: entry.id, zone: entry.zone, region: REGION },
      callers: { address: `${host}:${callersPort}` },
      peers: { address: `${host}:${peersPort}`, announce: this.linkAddress(`peer-${entry.id}`), seeds: seeds.join(',') },
      platform: { address: this.linkAddress('platform') },
      keys: { 'seal-passwords': SEAL_PASSWORD, 'operator-hashes': createHash('sha256').update(TEST_OPERATOR_KEY).digest('hex') },
      stop: { 'drain-notice': '200ms' },
      // One data thread keeps systems of many instances small.
      threads: { 'data-threads': '1' }
    }
    for (const [section, values] of Object.entries(entry.settings ?? {})) sections[section] = { ...sections[section], ...values }
    return Object.entries(sections).map(([section, values]) =>
      [`[${section}]`, ...Object.entries(values).map(([key, value]) => `${key} = ${value}`)].join('\n')).join('\n')
  }

  private async writeCatalogue (): Promise<void> {
    const servers = this.settings.servers.map(({ id, zone, service, checksFencing = true }): ServerEntry =>
      ({ kind: 'server', id, zone, service, address: this.linkAddress(id), checksFencing, leaving: false }))
    for (const entry of [...this.settings.catalogue, ...servers]) await this.putEntry(entry)
  }

  private async waitUntilReady (id: string): Promise<void> {
    const deadline = Date.now() + CATALOGUE_TIMEOUT_MILLISECONDS
    while (Date.now() < deadline) {
      const response = await Wreck.request('GET', `http://${this.callersAddress(id)}/readyz`).catch(() => undefined)
      response?.resume()
      if (response?.statusCode === 200) return
      await delay(50)
    }
    throw new Error(`${id} did not become ready:\n${this.entryProcess(id).output}`)
  }

  private linkArgument (name: string, host: string): string {
    return `${name}=${this.ports.get(`link-${name}`)}:${host}:${this.ports.get(name)}`
  }

  private peerLinkArgument (id: string): string {
    const { host, peersPort } = this.runningEntry(id)
    return `peer-${id}=${this.ports.get(`link-peer-${id}`)}:${host}:${peersPort}`
  }

  private async post (url: string, payload: object): Promise<void> {
    await Wreck.post(`http://${url}`, { payload: JSON.stringify(payload), headers: { 'content-type': 'application/json' } })
  }

  private runningEntry (id: string): RunningEntry {
    return this.found(this.running.get(id), id)
  }

  private found<Value> (value: Value | undefined, name: string): Value {
    if (value === undefined) throw new Error(`the test system has no ${name}`)
    return value
  }
}

function serverArguments ({ type, checksFencing, options = [] }: TestServer): readonly string[] {
  return [type, ...(type === 'engine' && checksFencing !== false ? ['--checks-fencing'] : []), ...options]
}
