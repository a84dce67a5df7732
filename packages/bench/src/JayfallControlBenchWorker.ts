/** A process of the control bench: a few instances of the real control code with real sockets. */

import { type Socket } from 'node:net'
import * as v8 from 'node:v8'
import * as vm from 'node:vm'

import { ControlService, type ExchangeMessage } from '#jayfall/control'
import { PeerControl } from '#jayfall/entry'
import { CatalogueStore, HttpTableStore, PlatformHttp, PlatformServices } from '#jayfall/store'
import { createRandomSource, delay, SystemClock } from '#jayfall/shared'
import { createLog } from '#jayfall/telemetry'

export interface WorkerInstance {
  readonly id: string
  readonly zone: string
  readonly peersAddress: string
}

/** From the bench to a worker. */
export type WorkerOrder =
  | { readonly kind: 'start', readonly platform: string, readonly seeds: readonly string[], readonly instances: readonly WorkerInstance[], readonly workspaces: readonly string[], readonly seed: number }
  /** Exchanges `count` times with an address, so that the code runs compiled as it does after some minutes. */
  | { readonly kind: 'warm', readonly address: string, readonly count: number }
  /** Measures the roles' calls to the platform; the worker answers with `calls`. */
  | { readonly kind: 'call', readonly platform: string }
  /** Begins a measurement. */
  | { readonly kind: 'begin' }
  /** Ends the measurement; the worker answers with `measured`. */
  | { readonly kind: 'end' }

/** Messages of one kind that were received, with the sizes of their bodies. */
export interface KindCounts {
  readonly messages: number
  readonly requestBytes: number
  readonly replyBytes: number
}

/** From a worker to the bench. */
export type WorkerReport =
  | { readonly kind: 'ready' }
  | { readonly kind: 'warmed' }
  /** Microseconds of processor time of one call. */
  | { readonly kind: 'calls', readonly costs: Readonly<Record<string, number>> }
  /** `at`: monotonic milliseconds, which all processes of a machine share. */
  | { readonly kind: 'installed', readonly instance: string, readonly revision: number, readonly at: number }
  | { readonly kind: 'measured', readonly cpu: number, readonly elapsed: number, readonly memory: number, readonly freeHeap: number, readonly bytes: number, readonly kinds: Readonly<Record<string, KindCounts>> }

/** One of this many messages is measured, as writing each again would cost processor time. */
const SAMPLING = 10
/** Requests per second of one node at the target size. */
const REQUESTS_PER_SECOND = 106
const TOKENS_PER_REQUEST = 400
const MEASURED_CALLS = 100
const PAUSE_MILLISECONDS = 20
const DEMAND_AGE_SECONDS = 600

const clock = new SystemClock()
const sockets = new Set<Socket>()
const kinds = new Map<string, { messages: number, sampled: number, request: number, reply: number }>()
let controls: readonly PeerControl[] = []
let closedBytes = 0
let begin = { cpu: process.cpuUsage(), at: clock.monotonic(), bytes: 0 }

function report (message: WorkerReport): void {
  process.send?.(message)
}

function countBytes (): number {
  return [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, closedBytes)
}

/** Counts what the service answers, by kind. */
function countMessages (): void {
  const { answer } = ControlService.prototype
  ControlService.prototype.answer = function (request: ExchangeMessage): ExchangeMessage {
    const reply = answer.call(this, request)
    const counts = kinds.get(request.kind) ?? { messages: 0, sampled: 0, request: 0, reply: 0 }
    kinds.set(request.kind, counts)
    counts.messages++
    if (counts.messages % SAMPLING === 0) {
      counts.sampled++
      counts.request += JSON.stringify(request).length
      counts.reply += JSON.stringify(reply).length
    }
    return reply
  }
}

async function start ({ platform, seeds, instances, workspaces, seed }: Extract<WorkerOrder, { kind: 'start' }>): Promise<void> {
  countMessages()
  const random = createRandomSource(seed)
  controls = instances.map(({ id, zone, peersAddress }) => {
    const http = new PlatformHttp({ address: platform, localAddress: peersAddress.split(':')[0] })
    const tables = new HttpTableStore(http)
    return new PeerControl({ instanceId: id, zone, incarnation: clock.wall(), peersAddress, announcedAddress: peersAddress, seeds: seeds.filter(address => address !== peersAddress) }, {
      catalogueStore: new CatalogueStore(tables), tables, services: new PlatformServices(http), clock, log: createLog('silent')
    })
  })
  for (const control of controls) {
    // The average is young and noisy at first; this gives it the age that it has in service.
    for (const workspace of workspaces) control.node.demandMeter.count(workspace, { requests: DEMAND_AGE_SECONDS * REQUESTS_PER_SECOND / workspaces.length, tokens: DEMAND_AGE_SECONDS * REQUESTS_PER_SECOND / workspaces.length * TOKENS_PER_REQUEST })
    control.node.demandMeter.endPeriod(DEMAND_AGE_SECONDS * 1000)
    await control.start()
    const { server } = control as unknown as { readonly server: { readonly listener: { on (event: 'connection', listener: (socket: Socket) => void): void } } }
    server.listener.on('connection', socket => {
      sockets.add(socket)
      socket.once('close', () => {
        sockets.delete(socket)
        closedBytes += socket.bytesRead + socket.bytesWritten
      })
    })
    control.node.catalogue.registerInstallListener(({ revision }) => report({ kind: 'installed', instance: control.node.settings.instanceId, revision, at: clock.monotonic() }))
  }
  setInterval(() => {
    for (const { node } of controls) {
      for (const workspace of workspaces) {
        const requests = Math.max(0, random.normal(REQUESTS_PER_SECOND / workspaces.length, 3))
        node.demandMeter.count(workspace, { requests, tokens: requests * TOKENS_PER_REQUEST })
      }
      node.updateShares()
    }
  }, 1000)
}

async function warm (address: string, count: number): Promise<void> {
  const { service } = controls[0] as unknown as { readonly service: { exchange (kind: string, address: string): Promise<number> } }
  for (let call = 0; call < count; call++) await service.exchange('zone', address)
  report({ kind: 'warmed' })
}

/** Calls with pauses between them, as calls in quick succession cost less than half. */
async function measureCalls (platform: string): Promise<void> {
  const http = new PlatformHttp({ address: platform })
  const tables = new HttpTableStore(http)
  const store = new CatalogueStore(tables)
  const services = new PlatformServices(http)
  const calls: Readonly<Record<string, () => Promise<unknown>>> = {
    'read of the head': () => store.readHead(),
    'write of the zone status': () => tables.transact([{ table: 'zone-status', key: 'bench', value: { members: 56 } }]),
    announcement: () => services.announceInstance({ id: 'bench', role: 'entry', zone: 'zone-1', address: '127.0.0.1:1', state: 'live' })
  }
  const costs: Record<string, number> = {}
  for (const [name, call] of Object.entries(calls)) {
    for (let warm = 0; warm < MEASURED_CALLS * 5; warm++) await call()
    const before = process.cpuUsage()
    for (let number = 0; number < MEASURED_CALLS; number++) {
      await call()
      await delay(PAUSE_MILLISECONDS)
    }
    const { user, system } = process.cpuUsage(before)
    costs[name] = (user + system) / MEASURED_CALLS
  }
  http.close()
  report({ kind: 'calls', costs })
}

/**
 * Bytes in use after a collection, and the free part of the heap that the process held before it.
 * The resident memory, or the heap with its garbage, swings by tens of megabytes between equal runs.
 */
function measureMemory (): { readonly memory: number, readonly freeHeap: number } {
  const { heapTotal } = process.memoryUsage()
  v8.setFlagsFromString('--expose-gc')
  vm.runInNewContext('gc')()
  const { heapUsed, external } = process.memoryUsage()
  return { memory: heapUsed + external, freeHeap: heapTotal - heapUsed }
}

function measure (): void {
  const { user, system } = process.cpuUsage(begin.cpu)
  report({
    kind: 'measured',
    cpu: (user + system) / 1000,
    elapsed: clock.monotonic() - begin.at,
    ...measureMemory(),
    bytes: countBytes() - begin.bytes,
    kinds: Object.fromEntries([...kinds].map(([kind, { messages, sampled, request, reply }]) =>
      [kind, { messages, requestBytes: request / Math.max(sampled, 1), replyBytes: reply / Math.max(sampled, 1) }]))
  })
}

process.on('message', (order: WorkerOrder) => {
  switch (order.kind) {
    case 'start':
      start(order).then(() => report({ kind: 'ready' }), (error: Error) => {
        process.stderr.write(`${error.stack}\n`)
        process.exit(1)
      })
      break
    case 'warm':
      warm(order.address, order.count).catch(() => {})
      break
    case 'call':
      measureCalls(order.platform).catch(() => {})
      break
    case 'begin':
      kinds.clear()
      begin = { cpu: process.cpuUsage(), at: clock.monotonic(), bytes: countBytes() }
      break
    case 'end':
      measure()
  }
})
process.on('disconnect', () => process.exit())
