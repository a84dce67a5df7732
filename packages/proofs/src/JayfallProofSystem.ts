/** What proofs on model answers run on, and what they do to it. */

import { createRandomSource, delay, type RandomSource } from '#jayfall/shared'
import { TestSystem, testEngineService, testVersion, testWorkspace, type TestSystemSettings } from '#jayfall/testbed'

export const PROOF_WORKSPACE = 'taller-uno'

const DEFAULT_TOKEN_INTERVAL_MILLISECONDS = 20

/** Program of an entry instance in which `part` is replaced; see counterEntry.ts. */
export function counterProgram (part: string): readonly string[] {
  return ['proofs/src/counterEntry.js', part]
}

/** Settings of a system with engines and entry instances in two zones. */
export function engineSystemSettings (engines: number, entries: number, options: { readonly seed: number, readonly replacedPart?: string, readonly tokenInterval?: number }): TestSystemSettings {
  const zoneOf = (index: number): string => ['valdivia', 'osorno'][index % 2]
  // Parts are replaced in the main thread only.
  const settings = options.replacedPart === undefined ? {} : { settings: { threads: { 'data-threads': '0' } } }
  const program = options.replacedPart === undefined ? undefined : counterProgram(options.replacedPart)
  return {
    seed: options.seed,
    servers: Array.from({ length: engines }, (_, index) =>
      ({ id: `engine-${index + 1}`, zone: zoneOf(index), service: 'asistente-tallado', type: 'engine' as const, options: ['--token-interval', String(options.tokenInterval ?? DEFAULT_TOKEN_INTERVAL_MILLISECONDS)] })),
    entries: Array.from({ length: entries }, (_, index) => ({ id: `entry-${index + 1}`, zone: zoneOf(index), program, ...settings })),
    catalogue: [
      testVersion('guide-1', { trafficShare: 50 }),
      testVersion('guide-2', { trafficShare: 50, version: '2' }),
      testEngineService('asistente-tallado', ['guide-1', 'guide-2']),
      testWorkspace(PROOF_WORKSPACE, ['guide-1', 'guide-2']),
      testWorkspace('taller-dos', ['guide-1', 'guide-2'])
    ]
  }
}

/** A fault that takes some time. */
export type Fault = (random: RandomSource) => Promise<void>

/** Injects random faults one after the other until `isOver`; returns how many. */
export async function injectFaults (seed: number, faults: readonly Fault[], pause: number, isOver: () => boolean): Promise<number> {
  const random = createRandomSource(seed)
  let count = 0
  while (!isOver()) {
    const fault = random.pick(faults)
    await fault?.(random)
    count++
    await delay(random.exponential(pause))
  }
  return count
}

/** Runs `count` callers side by side until each has made `rounds` calls. */
export async function runCallers<Result> (count: number, rounds: number, call: (caller: number, round: number) => Promise<Result>): Promise<readonly Result[]> {
  const callers = Array.from({ length: count }, async (_, caller) => {
    const results: Result[] = []
    for (let round = 0; round < rounds; round++) results.push(await call(caller, round))
    return results
  })
  return (await Promise.all(callers)).flat()
}

/** Starts a system, runs `work` on it, and ends it. */
export async function withSystem<Result> (settings: TestSystemSettings, work: (system: TestSystem) => Promise<Result>): Promise<Result> {
  const system = await TestSystem.start(settings)
  try {
    return await work(system)
  } finally {
    await system.stop()
  }
}
