/** All benches by name. */

import { type Bench } from './JayfallBench'

export const BENCHES: readonly Bench[] = []
