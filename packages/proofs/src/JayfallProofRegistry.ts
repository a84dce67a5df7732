/** All proofs by name. */

import { AllowedProof } from './JayfallAllowedProof'
import { AnswersProof } from './JayfallAnswersProof'
import { AtMostOnceProof } from './JayfallAtMostOnceProof'
import { BillingProof } from './JayfallBillingProof'
import { LeasesProof } from './JayfallLeasesProof'
import { LeavingProof } from './JayfallLeavingProof'
import { OutageProof } from './JayfallOutageProof'
import { PlannedStopProof } from './JayfallPlannedStopProof'
import { type Proof } from './JayfallProof'
import { RevisionsProof } from './JayfallRevisionsProof'
import { SessionsProof } from './JayfallSessionsProof'
import { SilentProof } from './JayfallSilentProof'

export const PROOFS: readonly Proof[] = [
  new AtMostOnceProof(),
  new BillingProof(),
  new RevisionsProof(),
  new AnswersProof(),
  new PlannedStopProof(),
  new LeavingProof(),
  new SessionsProof(),
  new LeasesProof(),
  new SilentProof(),
  new AllowedProof(),
  new OutageProof()
]
