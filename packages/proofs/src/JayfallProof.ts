/** The frame of all proofs: real processes under seeded faults, and a count of violations. */

/** How a proof is run. */
export interface ProofOptions {
  readonly seed: number
  /** Replaces the mechanism under test, so that the run must report violations. */
  readonly isCounterProof: boolean
}

/** What a proof saw. */
export interface ProofResult {
  readonly operations: number
  readonly faults: number
  /** One line for each violation. */
  readonly violations: readonly string[]
}

/** A proof of one or more promises. */
export abstract class Proof {
  abstract readonly name: string
  /** The promises that it proves, by their number in docs/promises.md. */
  abstract readonly promises: readonly number[]
  abstract run (options: ProofOptions): Promise<ProofResult>
}

export function formatClosingLine (name: string, seed: number, result: ProofResult): string {
  return `prove=${name} seed=${seed} operations=${result.operations} faults=${result.faults} violations=${result.violations.length}`
}
