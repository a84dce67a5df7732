/** CPU time and memory of another process, as Linux reports them. */

import * as fs from 'node:fs'

import { CPU_TICKS_PER_SECOND } from './JayfallBenchConstants'

export interface ProcessUsage {
  /** Milliseconds of CPU time since the start of the process, user and system. */
  readonly cpu: number
  /** Bytes of resident memory. */
  readonly memory: number
}

/** Reads the usage of a running process. */
export function readProcessUsage (processId: number): ProcessUsage {
  const stat = fs.readFileSync(`/proc/${processId}/stat`, 'utf8')
  // The second field, the name, may contain blanks; the others are counted after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  const resident = /^VmRSS:\s+(\d+) kB$/m.exec(fs.readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1]
  return { cpu: ticks * 1000 / CPU_TICKS_PER_SECOND, memory: Number(resident) * 1024 }
}
