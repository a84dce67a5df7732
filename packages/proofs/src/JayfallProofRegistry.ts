/** All proofs by name. */

import { AtMostOnceProof } from './JayfallAtMostOnceProof'
import { BillingProof } from './JayfallBillingProof'
import { OutageProof } from './JayfallOutageProof'
import { type Proof } from './JayfallProof'

export const PROOFS: readonly Proof[] = [new AtMostOnceProof(), new BillingProof(), new OutageProof()]
