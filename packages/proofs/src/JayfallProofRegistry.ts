/** All proofs by name. */

import { type Proof } from './JayfallProof'
import { RevisionsProof } from './JayfallRevisionsProof'

export const PROOFS: readonly Proof[] = [new RevisionsProof()]
