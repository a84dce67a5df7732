/** All benches by name. */

import { BadVersionBench } from './JayfallBadVersionBench'
import { type Bench } from './JayfallBench'

export const BENCHES: readonly Bench[] = [
  new BadVersionBench()
]
