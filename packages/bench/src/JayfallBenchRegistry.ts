/** All benches by name. */

import { type Bench } from './JayfallBench'
import { OverheadBench } from './JayfallOverheadBench'
import { RelayBench } from './JayfallRelayBench'

export const BENCHES: readonly Bench[] = [new RelayBench(), new OverheadBench()]
