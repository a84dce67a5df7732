/** The directory of the other entry instances. */

/** The identity and address of another entry instance. */
export interface Peer {
  readonly id: string
  readonly zone: string
  /** IP address and port on which it accepts calls from other instances. */
  readonly address: string
}

/** One instance's view of the other entry instances; the views of different instances may differ. */
export abstract class PeerDirectory {
  /** The other instances of this instance's zone that are alive and not leaving. */
  abstract livePeersOfZone (): readonly Peer[]
  /** Whether the instance counts as dead. */
  abstract isDead (id: string): boolean
  /** Start time of the instance's present process in wall-clock milliseconds, or undefined when it is unknown. */
  incarnationOf (_id: string): number | undefined {
    return undefined
  }
}
