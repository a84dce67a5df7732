/** All proofs by name. */

import { type Proof } from './JayfallProof'

export const PROOFS: readonly Proof[] = []
