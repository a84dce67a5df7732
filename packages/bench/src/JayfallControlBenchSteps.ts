/** Processor time of single steps of the control code at the target size, in one process. */

import { ControlNode, createZoneStatus, exchangeMessageSchema, type ExchangeMessage } from '#jayfall/control'
import { createRandomSource, ManualClock } from '#jayfall/shared'
import { testWorkspace } from '#jayfall/testbed'

export interface StepCost {
  readonly name: string
  /** Microseconds of one step. */
  readonly microseconds: number
  /** Steps in a second on one node. */
  readonly perSecond: number
}

const WORKSPACES = 10
const ITERATIONS = 2000

/** Measures with `members` in the zone and `zones` in all. */
export function measureSteps (members: number, zones: number): readonly StepCost[] {
  const clock = new ManualClock(1_000_000)
  const node = createNode('self', 'zone-1', clock)
  const peers = Array.from({ length: members - 1 }, (_, index) => createNode(`peer-${index + 1}`, 'zone-1', clock))
  const others = Array.from({ length: zones - 1 }, (_, index) => createNode(`other-${index + 2}`, `zone-${index + 2}`, clock))
  const nodes = [node, ...peers, ...others]
  for (let second = 0; second < 20; second++) {
    clock.advance(1000)
    for (const one of nodes) {
      countDemand(one)
      one.tick()
    }
    for (const other of [...peers, ...others]) exchange(node, other, other.settings.zone === 'zone-1' ? 'zone' : 'other-zone', clock)
  }
  const request = node.createRequest('zone')
  const triggered = node.createRequest('triggered')
  const text = JSON.stringify(request)
  return [
    step('tick without a heartbeat', 3, () => node.tick()),
    step('tick with a heartbeat (demand, averages, removal)', 1, () => { clock.advance(1000); countDemand(node); node.tick() }),
    step('limit shares', 1, () => node.updateShares()),
    step('ranking of the members (roles)', 4, () => node.isStoreReader),
    step('create a periodic request', 1, () => node.createRequest('zone')),
    step('take a periodic request', 1, () => node.handleRequest(request)),
    step('take a triggered request', 2.5, () => node.handleRequest(triggered)),
    step('write and read a periodic message as JSON, and check it', 4, () => exchangeMessageSchema.parse(JSON.parse(JSON.stringify(JSON.parse(text))))),
    step('zone status', 0.2, () => createZoneStatus(node, clock.monotonic(), clock.wall()))
  ]
}

function createNode (instanceId: string, zone: string, clock: ManualClock): ControlNode {
  const node = new ControlNode({ instanceId, zone, address: '127.0.0.1:1000', incarnation: 1 }, clock, createRandomSource(1))
  const entries = Array.from({ length: WORKSPACES }, (_, index) => ({ revision: index + 1, entry: testWorkspace(`workspace-${index + 1}`, []) }))
  node.installSnapshot({ revision: WORKSPACES, entries })
  return node
}

function countDemand (node: ControlNode): void {
  for (let index = 1; index <= WORKSPACES; index++) node.demandMeter.count(`workspace-${index}`, { requests: 10, tokens: 4000 })
}

function exchange (from: ControlNode, to: ControlNode, kind: ExchangeMessage['kind'], clock: ManualClock): void {
  from.handleReply(to.handleRequest(from.createRequest(kind)), clock.monotonic())
}

function step (name: string, perSecond: number, work: () => unknown): StepCost {
  for (let warm = 0; warm < ITERATIONS / 10; warm++) work()
  const before = process.cpuUsage()
  for (let iteration = 0; iteration < ITERATIONS; iteration++) work()
  const { user, system } = process.cpuUsage(before)
  return { name, microseconds: (user + system) / ITERATIONS, perSecond }
}
