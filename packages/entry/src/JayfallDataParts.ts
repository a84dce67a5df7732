/**
 * Replaceable components of the data plane. Each one ensures a guarantee of the product, and the proofs replace one at a
 * time to show that the guarantee fails without it.
 */

import { type AnswerReaderFactory } from './JayfallAnswerReader'
import { AnySourceLeavingPolicy, type LeavingPolicy } from './JayfallLeavingPolicy'
import { SealedSessionPolicy, type SessionPolicy } from './JayfallSessionPolicy'
import { ValidatingStreamReaderFactory } from './JayfallValidatingStreamReader'

/** The replaceable components. */
export interface DataParts {
  readonly streamReaders: AnswerReaderFactory
  readonly sessionPolicy: SessionPolicy
  readonly leavingPolicy: LeavingPolicy
}

/** Creates the default components, with some of them replaced. */
export function createDataParts (replacements: Partial<DataParts> = {}): DataParts {
  return { streamReaders: new ValidatingStreamReaderFactory(), sessionPolicy: new SealedSessionPolicy(), leavingPolicy: new AnySourceLeavingPolicy(), ...replacements }
}
