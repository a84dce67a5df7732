/** An entry instance that sends non-idempotent calls without a claim. */

import { runCounterEntry } from '../JayfallCounterEntry'

runCounterEntry('claims').catch((error: Error) => {
  process.stderr.write(`${error.stack}\n`)
  process.exitCode = 1
})
