/** A part of prompts crashes each engine that begins to write an answer on it: the engine's first event goes out, then it ends. */

import path from 'node:path'
import { fileURLToPath } from 'node:url'

import { BOUNDS, requireThat, runCase } from '../deployment-2.mjs'
import { Engine } from '../engine-2.mjs'
import { call, newRequestId } from '../http-2.mjs'
import { sleep } from '../store-2.mjs'

const ENGINES = 8
const INSTANCES = 3
const HEARTBEAT_MS = 1200
const BACK_AFTER_MS = 3000
const SOUND_PAUSE_MS = 60
const TAINTED_PAUSE_MS = 1200
const PLAY_MS = 24_000
const SHARED_PART = '5c1e07a2'
const TAINTED_PART = '91bd3f06'
/** Events that an engine has sent when it crashes; 0 for a crash before the answer begins. */
const EVENTS_BEFORE_CRASH = Number(process.env.EVENTS ?? 1)

async function play (deployment, record, isTroubled) {
  deployment.configure([{ name: 'guides', prefix: '/guides/', kind: 'streaming', resumable: true, service: 'engines', 'timeout-ms': 20_000, 'slo-ms': 1000, 'gap-target-ms': 800, sticky: true }], ['engines'])
  const arrivals = []
  const crashes = []
  const engines = new Set()
  let number = 0
  let isOver = false
  let seq = 0
  const announce = engine => deployment.store.put('servers', engine.id, { service: 'engines', address: engine.address, zone: engine.zone, version: 'v1', slots: 64, state: 'ready', 'cold-left-ms': 0, seq: ++seq })
  const startEngine = async zone => {
    const engine = new Engine(`i-${++number}`, zone, {
      onArrival: (id, parts) => { if (parts.includes(TAINTED_PART)) arrivals.push({ id, at: performance.now(), engine: engine.id }) },
      crashesOn: TAINTED_PART,
      eventsBeforeCrash: EVENTS_BEFORE_CRASH,
      onCrash: async id => {
        crashes.push(performance.now())
        record.add(`${id} crashes ${engine.id}; it is crash ${crashes.length}`)
        engines.delete(engine)
        setTimeout(() => deployment.store.remove('servers', engine.id), 3 * HEARTBEAT_MS)
        await sleep(BACK_AFTER_MS)
        if (!isOver) await startEngine(zone)
      }
    })
    await engine.start(deployment.nextHost())
    engines.add(engine)
    announce(engine)
  }
  for (let index = 0; index < ENGINES; index++) await startEngine(deployment.zones[index % 2])
  const heartbeat = setInterval(() => { for (const engine of engines) announce(engine) }, HEARTBEAT_MS)
  for (let index = 0; index < INSTANCES; index++) deployment.addInstance(deployment.zones[index % 2]).start()
  await deployment.untilReady()
  // The instances list each other within seconds of their start.
  await sleep(4000)

  const calls = []
  let turn = 0
  const send = (name, middle) => {
    const id = newRequestId(name)
    const instance = deployment.instances[turn++ % INSTANCES]
    const parts = [`${SHARED_PART}:800`, ...middle.map(part => `${part}:410`), `${id.replace(/\D/g, '')}a:250`]
    calls.push(call(instance, { path: '/guides/a', id, deadline: 20_000, body: `prompt of ${id}`, headers: { Model: 'model-1', 'Token-Count': '1460,80', 'Prompt-Prefix': parts.join(',') } }))
  }
  const timers = [setInterval(() => send('sound', []), SOUND_PAUSE_MS)]
  await sleep(3000)
  const first = await Promise.all(calls.slice(0, 20))
  requireThat(first.every(({ status }) => status === 200), 'sound requests are not answered before the first tainted one')
  if (isTroubled) timers.push(setInterval(() => send('tainted', [TAINTED_PART]), TAINTED_PAUSE_MS))
  await sleep(PLAY_MS)
  for (const timer of timers) clearInterval(timer)
  const outcomes = await Promise.all(calls)
  isOver = true
  clearInterval(heartbeat)
  for (const engine of engines) engine.stop()

  const sound = outcomes.filter(({ id }) => id.startsWith('sound'))
  record.add(`${sound.length} sound requests, ${sound.filter(({ status, isComplete }) => status === 200 && isComplete).length} answered with 200; ${outcomes.length - sound.length} tainted ones; ${crashes.length} crashes`)
  requireThat(!isTroubled || arrivals.length > 0, 'no tainted request reached an engine')
  if (crashes.length < 5) return []
  const from = crashes[4] + BOUNDS['contact-ms']
  const late = arrivals.filter(({ at }) => at > from)
  record.add(`${late.length} arrivals of tainted requests at engines later than ${BOUNDS['contact-ms']} ms after the fifth crash; 3 are allowed`)
  const requests = new Set(late.map(({ id }) => id))
  return requests.size > 3 ? [`BUDGET: ${requests.size} requests with the part that crashes engines reached engines ${late.length} times, later than contact-ms after the fifth crash; ${crashes.length} crashes in all`] : []
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), play)
