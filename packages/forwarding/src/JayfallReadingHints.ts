/**
 * What instances tell each other of the long prompts that they send.
 *
 * Engines read prompts one after another, and their own reports come too late to show a prompt
 * that will keep them busy for the next second. Hints may be lost; they only improve choices.
 */

export interface ReadingHint {
  /** Identifier of the server. */
  readonly server: string
  /** Estimated milliseconds of reading. */
  readonly reading: number
}

/** Tells other instances. */
export abstract class ReadingHints {
  abstract tell (hint: ReadingHint): void
  /** Has `take` called with the hints of other instances. */
  abstract listen (take: (hint: ReadingHint) => void): void
}

/** For an instance that is alone. */
export class NoReadingHints extends ReadingHints {
  override tell (): void {}

  override listen (): void {}
}
