/** Hosts the data planes of an instance, either in the main thread or in separate data threads. */

import { type Log } from '#jayfall/telemetry'

import { createLocalLink, type ControlLinkEnd } from './JayfallControlLink'
import { type DataParts } from './JayfallDataParts'
import { DataPlane, type DataPlaneSettings } from './JayfallDataPlane'

/** An IP address and port. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** Starts, drains and stops the data planes of one instance. */
export abstract class DataHost {
  /** Number of open requests in all data planes. */
  abstract get openRequests (): number
  /** Resolves with the cause when a data plane ends without having been stopped. */
  abstract readonly failure: Promise<Error>
  /** Resolves when every data plane accepts connections. */
  abstract listen (address: ListenAddress): Promise<void>
  /** Stops accepting connections, closes idle ones, and returns the number of open requests, which continue. */
  abstract drain (): Promise<number>
  /** Ends open requests with an error that tells the caller how to continue. */
  abstract interrupt (): Promise<void>
  abstract stop (): Promise<void>
}

/** Hosts one data plane in the current thread. */
export class LocalDataHost extends DataHost {
  private readonly plane: DataPlane
  /** Never resolves, because a fault of the only thread ends the process. */
  override readonly failure = new Promise<Error>(() => {})

  constructor (settings: DataPlaneSettings, attach: (link: ControlLinkEnd) => void, log: Log, components: DataParts) {
    super()
    const link = createLocalLink()
    attach(link.control)
    this.plane = new DataPlane(settings, link.data, log, components)
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
