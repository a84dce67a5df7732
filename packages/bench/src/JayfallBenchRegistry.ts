/** All benches by name. */

import { BadVersionBench } from './JayfallBadVersionBench'
import { type Bench } from './JayfallBench'
import { CostBench } from './JayfallCostBench'

export const BENCHES: readonly Bench[] = [
  new BadVersionBench(),
  new CostBench()
]
