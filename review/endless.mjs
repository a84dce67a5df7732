/** Starts servers whose answers may go on without end as processes of their own, so that they do not delay the clients. */

import { fork } from 'node:child_process'
import * as path from 'node:path'
import { fileURLToPath } from 'node:url'

const PROGRAM = path.join(path.dirname(fileURLToPath(import.meta.url)), 'endless-server.mjs')

/** Resolves to the server's address, the identifiers of the requests that it ran, and a function that puts it in trouble. */
export async function startServer (deployment, record, { id, trouble, work }) {
  const child = fork(PROGRAM, [id, trouble, String(work)])
  deployment.stopAtEnd(() => child.kill('SIGKILL'))
  const runs = new Set()
  const address = await new Promise(resolve => child.on('message', message => {
    if (message.address !== undefined) return resolve(message.address)
    runs.add(message.runs)
    record.write(`${id} runs ${message.runs}${message.isInTrouble ? ' and answers without end' : ''}`)
  }))
  return { id, address, runs, beInTrouble: () => child.send('trouble') }
}
