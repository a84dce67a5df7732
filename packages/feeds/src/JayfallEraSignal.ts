/**
 * The latest era of the store that an instance has heard of, and what waits for the next one.
 *
 * An era that another instance names is taken for true until the store itself names a lower one in answer to a later
 * call. After that, only the store can name it, so an instance that is wrong makes each other one read once at most.
 */

export class EraSignal {
  private latestEra = 0
  /** The highest era that the store has refuted. */
  private refutedEra = 0
  /** Functions that end pauses and waits when an era begins. */
  private readonly callbacks = new Set<() => void>()

  get latest (): number {
    return this.latestEra
  }

  /** Whether an era that another instance names is a later one, as far as is known. */
  isNews (era: number): boolean {
    return era > this.latestEra && era > this.refutedEra
  }

  /** Records a later era, and ends pauses and waits. */
  raise (era: number): void {
    this.latestEra = era
    for (const callback of [...this.callbacks]) callback()
  }

  /** Records that the store is in an earlier era than another instance has named. */
  refute (era: number): void {
    this.refutedEra = Math.max(this.refutedEra, this.latestEra)
    this.latestEra = era
  }

  /** Resolves after `milliseconds`, or when an era begins. */
  pause (milliseconds: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined
    const elapsed = new Promise<void>(resolve => { timer = setTimeout(resolve, milliseconds) })
    return this.untilRaised(elapsed).finally(() => clearTimeout(timer))
  }

  /** Resolves to the result of `work`, or to undefined when an era begins before. */
  untilRaised<Result> (work: Promise<Result>): Promise<Result | undefined> {
    let end: () => void = () => {}
    const raised = new Promise<undefined>(resolve => { end = () => resolve(undefined) })
    this.callbacks.add(end)
    return Promise.race([work, raised]).finally(() => this.callbacks.delete(end))
  }
}
