/**
 * A small deployment on loopback addresses: the store stand-in of the project in this process, and instances of the
 * router as processes of their own, started with the command of the deploy file.
 */

import { spawn } from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import { createRequire } from 'node:module'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..')
export const KEY = 'key-of-review'
export const HOST = 'review.example'
export const ZONE = 'valdivia'

/** Ports of every instance; the instances have loopback addresses of their own. */
const FRONT_PORT = 18227
const READY_PORT = 18220
const CONTROL_PORT = 18229
const PEER_PORTS = [17340, 17355]
const METRICS_PORT = 9464

/** The figures of the sites' sheets. */
const BOUNDS = {
  'seed-lag-s': 3, 'addr-reuse-s': 2, 'contact-ms': 3000, 'ack-ms': 4000, 'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200, 'config-apply-ms': 2000, 'rollback-slack-ms': 250, 'max-skew-ms': 5000, 'strict-revoke': false, 'revoke-ms': 5000, 'retry-budget': 0.9, 'budget-window-s': 10, 'retry-slack': 58, 'exposure-share': 0.15, 'exposure-slack': 30, 'rollback-ms': 5000, 'recovery-s': 12, 'pass-ms': 120, 'retry-after-s': 10, 'session-s': 5
}
export const MEMORY_MEGABYTES = 350
const HEARTBEAT_MILLISECONDS = 1200
const MAXIMUM_RUN_MILLISECONDS = 115_000
/** Exit status. */
const CANNOT_RUN = 2

export const HAS_TROUBLE = process.env.TROUBLE !== '0'

const require = createRequire(import.meta.url)

export function sleep (milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Writes what was sent, answered and run, with the seconds since the start. */
export class Record {
  constructor (folder) {
    this.file = fs.openSync(path.join(folder, 'record.txt'), 'w')
    this.startedAt = performance.now()
  }

  write (text) {
    fs.writeSync(this.file, `${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${text}\n`)
  }
}

export class Deployment {
  constructor (record) {
    this.record = record
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'jayfall-review-'))
    this.instances = []
    this.stops = []
    this.version = 0
    this.sequence = 1
    const { StoreStandIn } = require(path.join(ROOT, 'target/platform/src/__tests__/standins/StoreStandIn.js'))
    this.store = new StoreStandIn()
  }

  async start () {
    await this.store.start()
    this.stops.push(() => this.store.stop())
    this.network = await findNetwork()
  }

  /** Adds something that is stopped at the end. */
  stopAtEnd (stop) {
    this.stops.push(stop)
  }

  configure ({ routes, services = ['guide'], limits = {} }) {
    this.store.put('op', 'config', {
      version: ++this.version,
      routes: routes.map((route, index) => ({ name: `route-${index}`, host: HOST, kind: 'idempotent', 'timeout-ms': 4000, 'slo-ms': 400, priority: 1, service: 'guide', 'max-attempts': 1, public: false, ...route })),
      services: services.map(name => ({ name, 'health-path': '/health' })),
      limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000, ...limits },
      tenants: [{ name: 'review', 'api-keys': [KEY], priority: 1 }]
    })
  }

  announce (id, address, fields = {}) {
    this.store.put('servers', id, { service: 'guide', address, zone: ZONE, version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, seq: this.sequence++, ...fields })
  }

  /** Starts instances with the command of the deploy file; resolves when all are ready. */
  async startInstances (count, fields = {}) {
    const hosts = Array.from({ length: count }, (_, index) => `${this.network}.${this.instances.length + index + 1}`)
    const started = hosts.map((host, index) => new Instance({ name: `front-${ZONE}-${this.instances.length + index + 1}`, host, seeds: hosts.map(other => `${other}:${CONTROL_PORT}`), storeAddress: fields.storeAddress ?? this.store.address, folder: this.folder, record: this.record }))
    this.instances.push(...started)
    for (const instance of started) instance.start()
    for (const instance of started) if (!await instance.waitUntilReady()) throw new Error(`${instance.name} did not become ready`)
    return started
  }

  /** Ends all processes that were started, without a wait. */
  endAtOnce () {
    for (const instance of this.instances) instance.child?.kill('SIGKILL')
    for (const stop of this.stops) {
      try {
        stop()
      } catch (error) {
        this.record.write(`not stopped: ${error.message}`)
      }
    }
    fs.rmSync(this.folder, { recursive: true, force: true })
  }
}

export class Instance {
  constructor ({ name, host, seeds, storeAddress, folder, record }) {
    Object.assign(this, { name, host, record })
    this.settingsPath = path.join(folder, `${name}.json`)
    this.logPath = path.join(folder, `${name}.log`)
    this.settings = {
      node: name,
      role: 'entry',
      'machine-class': 'front',
      serves: ['front'],
      ip: host,
      zone: ZONE,
      region: 'zona-sur',
      zones: { [ZONE]: 'zona-sur' },
      listen: { front: `${host}:${FRONT_PORT}`, ready: `${host}:${READY_PORT}`, control: `${host}:${CONTROL_PORT}` },
      'port-range': PEER_PORTS,
      seeds: seeds.slice(0, 3),
      bootstrap: true,
      'in-tolerance': false,
      limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': MEMORY_MEGABYTES, 'max-fds': 4100, 'link-mbps': 1000, 'disk-mb': 0 },
      'data-dir': null,
      discovery: 'platform',
      entry: 'vip',
      'heartbeat-ms': HEARTBEAT_MILLISECONDS,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'rollout'],
      'fault-tolerance': { machines: 2, zones: 1, regions: 0 },
      bounds: BOUNDS,
      platform: { address: storeAddress, form: 'table', 'writes-per-s': 400, 'reads-per-s': 2000, 'tx-ms': 5, 'partition-writes-s': 200, 'row-bytes': 65536, across: false, 'history-s': 20, 'blob-bytes': 8388608, 'blob-ms': 25, 'blob-mb-s': 80 }
    }
    fs.writeFileSync(this.settingsPath, JSON.stringify(this.settings))
  }

  get port () {
    return FRONT_PORT
  }

  get pid () {
    return this.child.pid
  }

  start () {
    const [program, ...words] = /^run = "(.*)"$/m.exec(fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
    const log = fs.openSync(this.logPath, 'a')
    const { PATH, HOME, LANG } = process.env
    const child = this.child = spawn(program === 'node' ? process.execPath : program, words, { cwd: ROOT, env: { PATH, HOME, LANG, JAYFALL_BOOT: this.settingsPath }, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    this.exit = undefined
    this.exited = new Promise(resolve => child.once('exit', (code, signal) => {
      if (this.child === child) this.exit = { code, signal }
      this.record.write(`${this.name} ended: code ${code}, signal ${signal}`)
      resolve()
    }))
    this.record.write(`${this.name} started as process ${child.pid}`)
  }

  signal (signal) {
    this.record.write(`${this.name} gets ${signal}`)
    this.child.kill(signal)
  }

  /** Asks as the platform does; resolves to the status, or undefined when there is no answer in time. */
  askReady (timeout = 1000) {
    return new Promise(resolve => {
      const request = http.get({ host: this.host, port: READY_PORT, path: '/ready', agent: false, timeout }, response => {
        response.resume()
        resolve(response.statusCode)
      })
      request.on('error', () => resolve(undefined))
      request.on('timeout', () => request.destroy())
    })
  }

  async waitUntilReady (limit = 15_000) {
    for (const end = performance.now() + limit; performance.now() < end; await sleep(50)) if (await this.askReady() === 200) return true
    return false
  }

  /** Resident memory in megabytes. */
  residentMegabytes () {
    try {
      return Number(/^VmRSS:\s+(\d+) kB$/m.exec(fs.readFileSync(`/proc/${this.pid}/status`, 'utf8'))?.[1] ?? 0) / 1024
    } catch {
      return 0
    }
  }

  log () {
    return fs.readFileSync(this.logPath, 'utf8')
  }
}

/** Sends a request as a client; resolves when its answer or its connection has ended. */
export function call (instance, { id, path: target, method = 'POST', body = `the body of ${id}`, headers = {}, deadline = 4000, agent = false, isBodyDropped = false, onRequest = () => {} }) {
  return new Promise(resolve => {
    const request = http.request({ host: instance.host, port: instance.port, method, path: target, agent, headers: { Host: HOST, 'Request-Id': id, 'Deadline-Ms': String(deadline), Authorization: `Bearer ${KEY}`, ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }), ...headers } })
    const timer = setTimeout(() => request.destroy(new Error('the client gave up')), deadline + 1000)
    const settle = result => {
      clearTimeout(timer)
      resolve({ id, ...result })
    }
    onRequest(request)
    request.on('error', error => settle({ status: undefined, error: error.code ?? error.message, isWhole: false }))
    request.on('response', response => {
      const chunks = []
      let bytes = 0
      response.on('data', chunk => {
        bytes += chunk.length
        if (!isBodyDropped) chunks.push(chunk)
      })
      response.on('error', () => {})
      response.on('close', () => settle({ status: response.statusCode, headers: response.headers, bytes, body: Buffer.concat(chunks).toString(), isWhole: response.complete, error: response.complete ? undefined : 'the answer broke off' }))
    })
    request.end(method === 'GET' ? undefined : body)
  })
}

/** A server that keeps to the protocol and works for a given time. */
export class Server {
  constructor (id, { work = 50, record, answer } = {}) {
    this.id = id
    this.runs = []
    this.http = http.createServer((request, response) => {
      const chunks = []
      request.on('data', chunk => chunks.push(chunk))
      request.on('error', () => {})
      request.on('end', () => {
        const requestId = request.headers['request-id']
        if (request.url === '/health') return response.writeHead(200, { 'Instance-Id': id, 'Server-Load': '0,0,8,100' }).end()
        const target = request.headers['target-instance']
        if (target !== undefined && target !== id) return response.writeHead(421, { 'Request-Id': requestId, 'Not-Executed': '1' }).end()
        this.runs.push({ id: requestId, at: performance.now() })
        record?.write(`${id} runs ${requestId}`)
        if (answer !== undefined) return answer({ request, response, requestId, body: Buffer.concat(chunks) })
        setTimeout(() => response.writeHead(200, { 'Request-Id': requestId, 'Response-Seal': `seal-of-${requestId}`, 'Server-Load': '1,0,8,100', 'Content-Type': 'text/plain' }).end(`done ${requestId}\n`), work)
      })
    })
  }

  async start () {
    await new Promise(resolve => this.http.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.http.address().port}`
    return this
  }

  stop () {
    this.http.close()
    this.http.closeAllConnections()
  }
}

/** A part of the loopback range in which the ports of the instances are free. */
async function findNetwork () {
  for (let count = 0; count < 50; count++) {
    const network = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 256)}`
    if (await isFree(`${network}.1`, METRICS_PORT) && await isFree(`${network}.1`, FRONT_PORT)) return network
  }
  throw new Error('no free addresses')
}

function isFree (host, port) {
  return new Promise(resolve => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. However it ends, the
 * processes that it started end first.
 */
export async function runCase (folder, play) {
  let deployment
  const cleanUp = () => deployment?.endAtOnce()
  process.on('exit', cleanUp)
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(CANNOT_RUN))
  for (const event of ['uncaughtException', 'unhandledRejection']) {
    process.on(event, error => {
      process.stderr.write(`could not run: ${error.stack}\n`)
      process.exit(CANNOT_RUN)
    })
  }
  setTimeout(() => process.exit(CANNOT_RUN), MAXIMUM_RUN_MILLISECONDS).unref()
  const record = new Record(folder)
  let status = CANNOT_RUN
  try {
    deployment = new Deployment(record)
    await deployment.start()
    const violations = await play(deployment, record)
    for (const text of violations) record.write(`BROKEN ${text}`)
    record.write(violations.length > 0 ? 'the rule was broken' : 'the rule held')
    status = violations.length > 0 ? 1 : 0
  } catch (error) {
    record.write(`could not run: ${error.stack}`)
  }
  process.exit(status)
}

/** Ends a case that could not run as intended. */
export function assertRan (condition, text) {
  if (!condition) throw new Error(text)
}
