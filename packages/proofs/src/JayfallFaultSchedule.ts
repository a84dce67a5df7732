/** Faults at seeded times, applied to a running system. */

import { delay, type RandomSource } from '#jayfall/shared'
import { type LinkFaultChange, type PlatformFaults } from '#jayfall/standins'
import { type TestSystem } from '#jayfall/testbed'

/** One fault; times in milliseconds. */
export interface Fault {
  readonly name: string
  readonly startsAt: number
  readonly duration: number
  begin (): Promise<void>
  end (): Promise<void>
}

type FaultWork = Pick<Fault, 'name' | 'begin' | 'end'>

/** Places `work` at a random time within `from` to `until`. */
export function placeFault (random: RandomSource, work: FaultWork, from: number, until: number, duration: number): Fault {
  return { ...work, startsAt: random.integer(from, Math.max(from, until)), duration }
}

/** Places faults of one target one after another in random order, with random gaps, so that they do not undo each other. */
export function placeInTurn (random: RandomSource, works: readonly (FaultWork & { readonly duration: number })[], from: number, until: number): readonly Fault[] {
  const total = works.reduce((sum, { duration }) => sum + duration, 0)
  const gap = Math.max(0, (until - from - total) / works.length)
  let at = from
  return random.sample(works, works.length).map(work => {
    const startsAt = Math.round(at + gap * random.uniform())
    at += gap + work.duration
    return { ...work, startsAt }
  })
}

/** Applies all faults at their times and resolves when the last has ended. Returns how many were applied. */
export async function applyFaults (faults: readonly Fault[]): Promise<number> {
  await Promise.all(faults.map(async fault => {
    await delay(fault.startsAt)
    await fault.begin()
    await delay(fault.duration)
    await fault.end()
  }))
  return faults.length
}

/** Kills an instance and starts it again. */
export function killEntry (system: TestSystem, id: string): FaultWork {
  return {
    name: `kill ${id}`,
    begin: async () => { system.entryProcess(id).signal('SIGKILL') },
    end: async () => { await system.restartEntry(id) }
  }
}

/** Pauses an instance and lets it go on. */
export function pauseEntry (system: TestSystem, id: string): FaultWork {
  return {
    name: `pause ${id}`,
    begin: async () => { system.entryProcess(id).signal('SIGSTOP') },
    end: async () => { system.entryProcess(id).signal('SIGCONT') }
  }
}

/** Faults of the platform's own making. */
export function disturbPlatform (system: TestSystem, faults: Partial<PlatformFaults>): FaultWork {
  return {
    name: `platform ${JSON.stringify(faults)}`,
    begin: async () => { await system.changePlatform(faults) },
    end: async () => { await system.changePlatform({ down: false, slow: 0, lostReplies: 0 }) }
  }
}

/** Faults of the network on one link. */
export function disturbLink (system: TestSystem, link: string, change: LinkFaultChange): FaultWork {
  const { source } = change
  return {
    name: `link ${link} ${JSON.stringify(change)}`,
    begin: async () => { await system.changeLink(link, change) },
    end: async () => { await system.changeLink(link, { source, delay: 0, cut: false, silence: 'none', lostReplies: false }) }
  }
}
