/** Exchanges load reports between instances as UDP datagrams, to a few instances at a time. Their rate is that of the interval at which they are published. */

import { LoadReportChannel, type LoadReport } from '#jayfall/capacity'
import { type PeerDatagrams } from '#jayfall/peers'
import { type Clock, type RandomSource } from '#jayfall/shared'
import * as z from 'zod'

const count = z.number().nonnegative()
/** Identifier, running and waiting requests, slots, slowness in per cent, and the age in milliseconds, of each report. */
const reportsMessage = z.object({ loads: z.array(z.tuple([z.string(), count, count, count, count, count])).readonly() }).readonly()
const PERCENT = 100

export interface DatagramLoadReportsParts {
  readonly datagrams: PeerDatagrams
  readonly clock: Clock
  readonly random: RandomSource
}

export class DatagramLoadReports extends LoadReportChannel {
  private near: readonly string[] = []
  private all: readonly string[] = []
  private handler: (report: LoadReport) => void = () => {}

  constructor (private readonly parts: DatagramLoadReportsParts) {
    super()
    parts.datagrams.subscribe(message => this.handleMessage(message))
  }

  /**
   * @param near IP addresses and ports of the other instances of the own zone, which choose among the same servers.
   * @param all those of all other instances.
   */
  setTargets (near: readonly string[], all: readonly string[]): void {
    this.near = near
    this.all = all
  }

  /** Sends to one instance of the own zone and one of any zone. */
  override publish (reports: readonly LoadReport[], now: number): void {
    const { datagrams, random } = this.parts
    const targets = [this.near, this.all].flatMap(addresses => random.pick(addresses) ?? [])
    const loads = reports.map(({ server, running, waiting, slots, slowness, measuredAt }) => [server, running, waiting, slots, Math.round(slowness * PERCENT), Math.ceil(now - measuredAt)])
    if (targets.length > 0) datagrams.send([...new Set(targets)], { loads })
  }

  override subscribe (handler: (report: LoadReport) => void): void {
    this.handler = handler
  }

  private handleMessage (message: unknown): boolean {
    if (typeof message !== 'object' || message === null || !('loads' in message)) return false
    const { data } = reportsMessage.safeParse(message)
    const now = this.parts.clock.monotonic()
    for (const [server, running, waiting, slots, slowness, age] of data?.loads ?? []) this.handler({ server, running, waiting, slots, slowness: slowness / PERCENT, measuredAt: now - age })
    return data !== undefined
  }
}
