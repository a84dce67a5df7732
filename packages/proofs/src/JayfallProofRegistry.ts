/** All proofs by name. */

import { AtMostOnceProof } from './JayfallAtMostOnceProof'
import { type Proof } from './JayfallProof'

export const PROOFS: readonly Proof[] = [new AtMostOnceProof()]
