/** A budget for additional attempts (retries, hedges) that successes earn. */

/** Holds at most `capacity` attempts and starts full, so that the first failures after a start can be retried. */
export class AttemptBudget {
  private balance: number

  /**
   * @param share additional attempts for each success.
   * @param capacity attempts that can be saved up.
   */
  constructor (private readonly share: number, private readonly capacity: number) {
    this.balance = capacity
  }

  /** Takes a success; `factor` below 1 shrinks what it earns and what may be saved up. */
  earn (factor: number): void {
    this.balance = Math.min(this.balance + this.share * factor, Math.max(1, this.capacity * factor))
  }

  /** Takes one attempt out of the budget; false when that would leave less than `reserve`. */
  trySpend (reserve = 0): boolean {
    if (this.balance < 1 + reserve) return false
    this.balance -= 1
    return true
  }
}
