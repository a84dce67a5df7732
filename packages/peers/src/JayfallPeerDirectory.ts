/** Which other entry instances are there. */

/** Another entry instance. */
export interface Peer {
  readonly id: string
  readonly zone: string
  /** IP address and port at which it is called. */
  readonly address: string
}

/** A view of the other entry instances; views of different instances may differ. */
export abstract class PeerDirectory {
  /** Instances of this instance's zone that are alive and not leaving, without this one. */
  abstract livePeersOfZone (): readonly Peer[]
  /** Whether the instance is taken for dead. */
  abstract isDead (id: string): boolean
  /** Wall-clock milliseconds of the start of the instance's present process, or undefined when that is not known. */
  incarnationOf (_id: string): number | undefined {
    return undefined
  }
}
