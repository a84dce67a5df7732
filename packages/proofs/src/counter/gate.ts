/** An entry instance that waits for a store that is down. */

import { runCounterEntry } from '../JayfallCounterEntry'

runCounterEntry('gate').catch((error: Error) => {
  process.stderr.write(`${error.stack}\n`)
  process.exitCode = 1
})
