/** All proofs by name. */

import { AnswersProof } from './JayfallAnswersProof'
import { LeavingProof } from './JayfallLeavingProof'
import { PlannedStopProof } from './JayfallPlannedStopProof'
import { type Proof } from './JayfallProof'
import { SessionsProof } from './JayfallSessionsProof'
import { SilentProof } from './JayfallSilentProof'

export const PROOFS: readonly Proof[] = [
  new AnswersProof(),
  new PlannedStopProof(),
  new LeavingProof(),
  new SessionsProof(),
  new SilentProof()
]
