/** The parts of the data path that keep its promises. Counter-proofs run with one of them replaced. */

import { type AnswerReaderFactory } from './JayfallAnswerReader'
import { EarliestLeavingPolicy, type LeavingPolicy } from './JayfallLeavingPolicy'
import { SealedSessionPolicy, type SessionPolicy } from './JayfallSessionPolicy'
import { StreamReaderFactory } from './JayfallStreamReader'

export interface DataParts {
  readonly streamReaders: AnswerReaderFactory
  readonly sessionPolicy: SessionPolicy
  readonly leavingPolicy: LeavingPolicy
}

export function createDataParts (replaced: Partial<DataParts> = {}): DataParts {
  return { streamReaders: new StreamReaderFactory(), sessionPolicy: new SealedSessionPolicy(), leavingPolicy: new EarliestLeavingPolicy(), ...replaced }
}
