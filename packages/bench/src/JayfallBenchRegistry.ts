/** All benches by name. */

import { type Bench } from './JayfallBench'
import { ControlBench } from './JayfallControlBench'

export const BENCHES: readonly Bench[] = [new ControlBench()]
