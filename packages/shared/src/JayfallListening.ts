/** Listening at addresses that may still be in use, as those of a process that is being replaced. */

import * as net from 'node:net'

import { delay } from './JayfallClock'

const RETRY_MILLISECONDS = 200
/** Errors that end when another process gives the address up or the network is there. */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])

/**
 * Listens, and tries again as long as the address is in use.
 * @param onRetry called once with the first error of that kind.
 * @throws Error for any other reason.
 */
export async function listenPersistently (server: net.Server, options: net.ListenOptions, onRetry: (error: Error) => void): Promise<void> {
  for (let isFirst = true; ; isFirst = false) {
    const error = await tryListening(server, options)
    if (error === undefined) return
    if (!PASSING_ERRORS.has(error.code)) throw error
    if (isFirst) onRetry(error)
    await delay(RETRY_MILLISECONDS)
  }
}

/** Returns the first port of a range that nothing listens at; the first one of all when none is free. */
export async function findFreePort (host: string, first: number, last: number): Promise<number> {
  for (let port = first; port <= last; port++) {
    const server = net.createServer()
    const error = await tryListening(server, { host, port })
    if (error === undefined) {
      await new Promise(resolve => server.close(resolve))
      return port
    }
    if (error.code !== 'EADDRINUSE') return first
  }
  return first
}

function tryListening (server: net.Server, options: net.ListenOptions): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise(resolve => {
    const onError = (error: NodeJS.ErrnoException): void => resolve(error)
    server.once('error', onError)
    server.listen(options, () => {
      server.off('error', onError)
      resolve(undefined)
    })
  })
}
