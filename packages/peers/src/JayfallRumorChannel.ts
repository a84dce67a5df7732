/** News between instances: what a topic of news is, and how its owner passes news on. */

/** One kind of news. The owner of the state that it changes implements it. */
export abstract class RumorTopic {
  abstract readonly name: string
  /**
   * Takes news in.
   * @param body as another instance sent it, not validated.
   * @param happenedAt in monotonic milliseconds of this instance's clock.
   * @returns whether this instance did not know it yet, so that it is passed on.
   */
  abstract hear (body: unknown, happenedAt: number): boolean

  /** What an instance that has just started needs to know. */
  * current (): Generator<{ readonly body: unknown, readonly happenedAt: number }> {}
}

/** Passes news on to other instances. Any message may be lost. */
export abstract class RumorChannel {
  /** Adds a topic. News of other topics is ignored. */
  abstract subscribe (topic: RumorTopic): void
  /** Spreads news to all instances. */
  abstract tell (topic: RumorTopic, body: unknown, happenedAt: number): void
  /** Sends news to the few instances that collect reports under the key, which may include this one. */
  abstract report (topic: RumorTopic, key: string, body: unknown, happenedAt: number): void
  /** The place of this instance in the ranking of all instances for the key; 0 is the first. */
  abstract rankFor (key: string): number
}

/** A channel without other instances. */
export class NoRumors extends RumorChannel {
  override subscribe (): void {}
  override tell (): void {}
  override report (): void {}

  override rankFor (): number {
    return 0
  }
}
