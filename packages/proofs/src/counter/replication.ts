/** An entry instance whose bills are kept in its own memory only. */

import { runCounterEntry } from '../JayfallCounterEntry'

runCounterEntry('replication').catch((error: Error) => {
  process.stderr.write(`${error.stack}\n`)
  process.exitCode = 1
})
