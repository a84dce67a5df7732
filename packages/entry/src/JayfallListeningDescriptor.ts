/**
 * Allocation of the file descriptor of the listening socket that the data threads share.
 *
 * The handle of each thread closes the descriptor, so the same number is closed once for each thread. If the number
 * were reused between two of these closes, the second one would close an unrelated connection. The kernel assigns
 * the lowest free number. A socket that is created while all lower numbers are occupied therefore has a number that
 * is not assigned again.
 */

import * as fs from 'node:fs'
import * as os from 'node:os'

import { MINIMUM_LISTENING_DESCRIPTOR } from './JayfallEntryConstants'

/** Runs `listen` while every descriptor below `MINIMUM_LISTENING_DESCRIPTOR`, or below the limit of the process, is occupied. */
export async function listenOnHighDescriptor (listen: () => Promise<void>): Promise<void> {
  const occupied = occupyDescriptors(MINIMUM_LISTENING_DESCRIPTOR)
  try {
    await listen()
  } finally {
    for (const descriptor of occupied) fs.closeSync(descriptor)
  }
}

/** Opens descriptors up to the number `highest`, or as many as the process may open except one. */
function occupyDescriptors (highest: number): readonly number[] {
  const occupied: number[] = []
  try {
    while ((occupied[occupied.length - 1] ?? 0) < highest) occupied.push(fs.openSync(os.devNull, 'r'))
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EMFILE') {
      for (const descriptor of occupied) fs.closeSync(descriptor)
      throw error
    }
    // The limit of the process is lower: the highest permitted number is left free for the socket.
    const last = occupied.pop()
    if (last !== undefined) fs.closeSync(last)
  }
  return occupied
}
