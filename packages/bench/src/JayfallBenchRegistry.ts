/** All benches by name. */

import { AffinityBench } from './JayfallAffinityBench'
import { BadVersionBench } from './JayfallBadVersionBench'
import { type Bench } from './JayfallBench'
import { BlockingBench } from './JayfallBlockingBench'
import { ControlBench } from './JayfallControlBench'
import { CostBench } from './JayfallCostBench'
import { CrestBench } from './JayfallCrestBench'
import { HerdBench } from './JayfallHerdBench'
import { OverheadBench } from './JayfallOverheadBench'
import { RelayBench } from './JayfallRelayBench'
import { SlowedBench } from './JayfallSlowedBench'

export const BENCHES: readonly Bench[] = [
  new BlockingBench(),
  new CrestBench(),
  new SlowedBench(),
  new BadVersionBench(),
  new CostBench(),
  new AffinityBench(),
  new HerdBench(),
  new RelayBench(),
  new OverheadBench(),
  new ControlBench()
]
