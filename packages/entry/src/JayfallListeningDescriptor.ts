/**
 * The descriptor of the listening socket that the data threads share.
 *
 * Each thread's handle closes the descriptor, so the number is closed once for each thread.
 * If the number were reused between two of these closes, the second would cut off another
 * connection. The kernel assigns the lowest free number; a socket created while all lower
 * numbers are taken therefore keeps a number that is not assigned again.
 */

import * as fs from 'node:fs'
import * as os from 'node:os'

import { RESERVED_DESCRIPTORS } from './JayfallEntryConstants'

/** Runs `listen` while every descriptor below `RESERVED_DESCRIPTORS`, or below the process's limit, is taken. */
export async function listenOnHighDescriptor (listen: () => Promise<void>): Promise<void> {
  const taken = takeDescriptors(RESERVED_DESCRIPTORS)
  try {
    await listen()
  } finally {
    for (const descriptor of taken) fs.closeSync(descriptor)
  }
}

function takeDescriptors (highest: number): readonly number[] {
  const taken: number[] = []
  try {
    while ((taken[taken.length - 1] ?? 0) < highest) taken.push(fs.openSync(os.devNull, 'r'))
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EMFILE') {
      for (const descriptor of taken) fs.closeSync(descriptor)
      throw error
    }
    // The limit is lower: the socket takes the highest number that the process may use.
    const last = taken.pop()
    if (last !== undefined) fs.closeSync(last)
  }
  return taken
}
