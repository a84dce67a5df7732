/** Where an instance's data planes run: in the main thread, or in data threads of their own. */

import { type Log } from '#jayfall/telemetry'

import { createLocalLink, type ControlLinkEnd } from './JayfallControlLink'
import { type DataParts } from './JayfallDataParts'
import { DataPlane, type DataPlaneSettings } from './JayfallDataPlane'

/** An IP address and port. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** Owns the data planes of one instance. */
export abstract class DataHost {
  /** Requests that have not ended, in all data planes. */
  abstract get openRequests (): number
  /** Resolves with the cause when a data plane ended without being stopped. */
  abstract readonly failure: Promise<Error>
  /** Resolves when every data plane accepts connections. */
  abstract listen (address: ListenAddress): Promise<void>
  /** Takes no new connections, closes idle ones, and returns the number of open requests, which go on. */
  abstract drain (): Promise<number>
  /** Ends open requests with an error that says how to go on. */
  abstract interrupt (): Promise<void>
  abstract stop (): Promise<void>
}

/** Runs one data plane in the calling thread. */
export class LocalDataHost extends DataHost {
  private readonly plane: DataPlane
  /** Never resolves: a fault of the only thread ends the process. */
  override readonly failure = new Promise<Error>(() => {})

  constructor (settings: DataPlaneSettings, attach: (link: ControlLinkEnd) => void, log: Log, parts: DataParts) {
    super()
    const link = createLocalLink()
    attach(link.control)
    this.plane = new DataPlane(settings, link.data, log, parts)
  }

  override get openRequests (): number {
    return this.plane.openRequests
  }

  override listen (address: ListenAddress): Promise<void> {
    return this.plane.listen(address)
  }

  override async drain (): Promise<number> {
    this.plane.drain()
    return this.plane.openRequests
  }

  override async interrupt (): Promise<void> {
    this.plane.interruptAll()
  }

  override stop (): Promise<void> {
    return this.plane.stop()
  }
}
