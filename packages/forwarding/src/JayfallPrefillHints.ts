/**
 * Hints by which instances announce to each other the long prompts that they send.
 *
 * Engines process prompts one after another, and their load reports arrive too late to show a prompt that
 * occupies them for the next second. Hints may be lost, because they only improve the selection of servers.
 */

export interface PrefillHint {
  /** Identifier of the server. */
  readonly server: string
  /** Estimated milliseconds of prefill. */
  readonly reading: number
  /** Whether the prompt is kept on the lane of long prompts. */
  readonly isInLane?: boolean
}

/** Sends and receives hints. */
export abstract class PrefillHints {
  /** @param zones the availability zones whose instances are told; undefined for all. */
  abstract publish (hint: PrefillHint, zones?: Iterable<string>): void
  /** Sets the function that is called with the hints of other instances. */
  abstract subscribe (handler: (hint: PrefillHint) => void): void
}

/** Used by an instance that has no connection to other instances. */
export class NoPrefillHints extends PrefillHints {
  override publish (): void {}

  override subscribe (): void {}
}
