/** Summary statistics. */

import { createRequire } from 'node:module'

import type * as Statistics from 'simple-statistics' with { 'resolution-mode': 'import' }

// The library's types describe its ES module only, and its CommonJS file has to be required by hand.
export const { mean, quantile } = createRequire(__filename)('simple-statistics') as typeof Statistics
