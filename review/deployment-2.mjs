/**
 * A small deployment on loopback addresses: the project's program, started with the command of the deploy file, and
 * settings like those of a small site.
 */

import { spawn } from 'node:child_process'
import fs from 'node:fs'
import net from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

import { sleep, Store } from './store-2.mjs'

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..')
const METRICS_PORT = 9464
const FRONT_PORT = 8227
const READY_PORT = 8220
const FIRST_PEER_PORT = 7340
const START_LIMIT_MS = 15_000

export const HOST = 'cases.example'
export const KEY = 'key-of-the-cases'
export const TENANT = 'tenant-of-the-cases'

/** Bounds of the small sites. */
export const BOUNDS = {
  'seed-lag-s': 3,
  'addr-reuse-s': 2,
  'contact-ms': 3000,
  'ack-ms': 4000,
  'catch-up-s': 4,
  'drain-ms': 2000,
  'grace-s': 8,
  'loss-slack-ms': 200,
  'config-apply-ms': 2000,
  'rollback-slack-ms': 250,
  'max-skew-ms': 5000,
  'strict-revoke': false,
  'revoke-ms': 5000,
  'retry-budget': 0.9,
  'budget-window-s': 10,
  'retry-slack': 58,
  'exposure-share': 0.15,
  'exposure-slack': 30,
  'rollback-ms': 5000,
  'recovery-s': 12,
  'pass-ms': 120,
  'retry-after-s': 10,
  'session-s': 5
}

/** Ends the script with 2: the case could not run. */
export class CannotRun extends Error {}

/** Writes what was seen, with the time in seconds since the start. */
export class Record {
  #lines = []
  #startedAt = performance.now()

  add (text) {
    this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`)
  }

  write (file) {
    fs.writeFileSync(file, `${this.#lines.join('\n')}\n`)
  }
}

/** One process of the program, on a loopback address of its own. */
export class Instance {
  #process
  exit

  constructor (deployment, name, zone, host, storeAddress) {
    Object.assign(this, { deployment, name, zone, host, storeAddress })
  }

  start () {
    const { folder, name, host } = { ...this, folder: this.deployment.folder }
    const settingsPath = path.join(folder, `${name}.json`)
    fs.writeFileSync(settingsPath, JSON.stringify(this.#settings()))
    const [, command] = /^run = "(.*)"$/m.exec(fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))
    const [program, ...words] = command.split(' ')
    const log = fs.openSync(path.join(folder, `${name}.log`), 'a')
    const child = spawn(program === 'node' ? process.execPath : program, words, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: folder, JAYFALL_BOOT: settingsPath }, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    this.#process = child
    this.exit = new Promise(resolve => {
      child.once('exit', (code, signal) => resolve({ code, signal }))
      child.once('error', error => resolve({ code: error.code, signal: null }))
    })
    this.deployment.record.add(`${name} starts as process ${child.pid} at ${host}`)
  }

  signal (name) {
    if (this.#process?.exitCode === null && this.#process.signalCode === null) this.#process.kill(name)
  }

  async isReady () {
    try {
      return (await fetch(`http://${this.host}:${READY_PORT}/ready`, { signal: AbortSignal.timeout(500) })).status === 200
    } catch {
      return false
    }
  }

  get frontPort () {
    return FRONT_PORT
  }

  #settings () {
    const { name, zone, host, storeAddress, deployment: { zones, isFirstStart, heartbeat } } = this
    return {
      node: name,
      role: 'entry',
      'machine-class': 'front',
      serves: ['front'],
      ip: host,
      zone,
      region: 'region-1',
      zones: Object.fromEntries(zones.map(other => [other, 'region-1'])),
      listen: { front: `${host}:${FRONT_PORT}`, ready: `${host}:${READY_PORT}` },
      'port-range': [FIRST_PEER_PORT, FIRST_PEER_PORT + 15],
      seeds: [],
      bootstrap: isFirstStart,
      'in-tolerance': false,
      limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'max-fds': 4100, 'link-mbps': 1000, 'disk-mb': 0 },
      'data-dir': null,
      discovery: 'platform',
      entry: 'vip',
      'heartbeat-ms': heartbeat,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'rollout'],
      'fault-tolerance': { machines: 2, zones: 1, regions: 0 },
      bounds: BOUNDS,
      platform: { address: storeAddress, form: 'table', 'writes-per-s': 400, 'reads-per-s': 2000, 'tx-ms': 5, 'partition-writes-s': 200, 'row-bytes': 65536, across: false, 'history-s': 20, 'blob-bytes': 8388608, 'blob-ms': 25, 'blob-mb-s': 80 }
    }
  }
}

export class Deployment {
  zones = ['zone-a', 'zone-b']
  isFirstStart = true
  heartbeat = 1200
  instances = []
  #ports = 0

  constructor (record) {
    this.record = record
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'jayfall-case-'))
  }

  /** Starts the store on a loopback network that nobody uses. */
  async start () {
    this.network = await findFreeNetwork()
    this.store = new Store(`${this.network}.1`)
    await this.store.start()
  }

  /** A loopback address for servers and callers. */
  nextHost () {
    return `${this.network}.${100 + this.#ports++}`
  }

  configure (routes, services, version = 1) {
    this.store.put('op', 'config', {
      version,
      routes: routes.map(route => ({ host: HOST, 'timeout-ms': 4000, 'slo-ms': 300, 'max-attempts': 3, priority: 1, public: false, ...route })),
      services: services.map(name => ({ name, 'health-path': '/health' })),
      limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 },
      tenants: [{ name: TENANT, 'api-keys': [KEY] }]
    })
  }

  addInstance (zone = this.zones[0], storeAddress = this.store.address) {
    const number = this.instances.length + 1
    const instance = new Instance(this, `front-${number}`, zone, `${this.network}.${10 + number}`, storeAddress)
    this.instances.push(instance)
    return instance
  }

  async untilReady (instances = this.instances) {
    const end = performance.now() + START_LIMIT_MS
    for (const instance of instances) {
      while (!await instance.isReady()) {
        if (performance.now() > end) throw new CannotRun(`${instance.name} is not ready; logs in ${this.folder}`)
        await sleep(50)
      }
    }
  }

  /** Ends all processes, and removes their settings and logs unless KEEP is set. */
  async stop () {
    for (const instance of this.instances) instance.signal('SIGCONT')
    for (const instance of this.instances) instance.signal('SIGKILL')
    await Promise.all(this.instances.map(({ exit }) => exit))
    this.store?.stop()
    if (process.env.KEEP === undefined) fs.rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Ends the script with 2 unless the case ran as it was meant to. */
export function requireThat (condition, text) {
  if (!condition) throw new CannotRun(text)
}

/** Runs a case. `play` returns what broke the rule, or an empty list. */
export async function runCase (folder, play) {
  const record = new Record()
  const deployment = new Deployment(record)
  const isTroubled = process.env.TROUBLE !== '0'
  let status = 2
  const timer = setTimeout(() => {
    record.add('the case took too long')
    finish(2)
  }, 115_000)
  let isFinishing = false
  const finish = async code => {
    if (isFinishing) return
    isFinishing = true
    clearTimeout(timer)
    await deployment.stop().catch(() => {})
    record.write(path.join(folder, 'record.txt'))
    process.exit(code)
  }
  for (const name of ['SIGINT', 'SIGTERM']) process.once(name, () => finish(2))
  process.once('uncaughtException', error => {
    record.add(`a stand-in failed: ${error.stack ?? error}`)
    finish(2)
  })
  try {
    await deployment.start()
    const breaks = await play(deployment, record, isTroubled)
    for (const text of breaks) record.add(`BROKEN ${text}`)
    record.add(breaks.length > 0 ? 'result: the rule was broken' : 'result: the rule held')
    for (const text of breaks.slice(0, 10)) console.log(text)
    status = breaks.length > 0 ? 1 : 0
  } catch (error) {
    record.add(`the case could not run: ${error.stack ?? error}`)
    console.error(error)
  }
  await finish(status)
}

/** The first three parts of a loopback network on whose addresses the fixed ports of the program are free. */
async function findFreeNetwork () {
  for (let tries = 0; tries < 50; tries++) {
    const network = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    const free = await Promise.all([METRICS_PORT, FRONT_PORT, READY_PORT, FIRST_PEER_PORT].map(port => isFree(`${network}.11`, port)))
    if (free.every(Boolean)) return network
  }
  throw new CannotRun('no free loopback addresses')
}

function isFree (host, port) {
  return new Promise(resolve => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}
