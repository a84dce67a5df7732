/** A budget for additional attempts (retries and hedges), which successes replenish. */

/** Holds at most `capacity` attempts and starts full, so that the first failures after a start can be retried. */
export class AttemptBudget {
  private balance: number

  /**
   * @param attemptsPerSuccess additional attempts that each success allows.
   * @param capacity greatest number of attempts that can accumulate.
   */
  constructor (private readonly attemptsPerSuccess: number, private readonly capacity: number) {
    this.balance = capacity
  }

  /** Records a success. A `factor` below 1 reduces what the success adds and what may accumulate. */
  recordSuccess (factor: number): void {
    this.balance = Math.min(this.balance + this.attemptsPerSuccess * factor, Math.max(1, this.capacity * factor))
  }

  /** Takes one attempt out of the budget, or returns false when that would leave less than `reserve`. */
  trySpend (reserve = 0): boolean {
    if (this.balance < 1 + reserve) return false
    this.balance -= 1
    return true
  }
}
