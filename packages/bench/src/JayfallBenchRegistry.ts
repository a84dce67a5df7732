/** All benches by name. */

import { AffinityBench } from './JayfallAffinityBench'
import { type Bench } from './JayfallBench'
import { BlockingBench } from './JayfallBlockingBench'
import { ControlBench } from './JayfallControlBench'
import { CrestBench } from './JayfallCrestBench'
import { HerdBench } from './JayfallHerdBench'
import { OverheadBench } from './JayfallOverheadBench'
import { RelayBench } from './JayfallRelayBench'
import { SlowedBench } from './JayfallSlowedBench'

export const BENCHES: readonly Bench[] = [
  new BlockingBench(),
  new CrestBench(),
  new SlowedBench(),
  new AffinityBench(),
  new HerdBench(),
  new RelayBench(),
  new OverheadBench(),
  new ControlBench()
]
