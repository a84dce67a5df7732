/** Tests of what a relay takes as the answer of another instance. */

import * as assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'

import { SystemClock } from '#jayfall/shared'
import { CutServer, type ConnectionEnd } from '#jayfall/standins'

import { type PlanContext } from '../../JayfallAttemptPlan'
import { type CallerAnswer } from '../../JayfallCallerAnswer'
import { type ForwardingContext } from '../../JayfallForwardingContext'
import { HeldMemory } from '../../JayfallHeldMemory'
import { encodeOutcome } from '../../JayfallRelayEnvelope'
import { type RelayPlan, type RelayResult } from '../../JayfallRelayPlan'
import { RelayRunner } from '../../JayfallRelayRunner'

const TIMEOUT_MILLISECONDS = 3000
const EVENT = 'id: 1\ndata: token 1\n\n'

describe('RelayRunner', () => {
  let server: CutServer | undefined
  afterEach(() => server?.stop())

  /** Relays a request to an instance that answers with a given status and without a length. */
  async function relay (end: ConnectionEnd, isStream: boolean, status = '200'): Promise<RelayResult['kind']> {
    server = new CutServer(`HTTP/1.1 ${status} OK\r\n${encodeOutcome({ kind: 'answered', version: undefined }).join(': ')}\r\n\r\n${EVENT}`, end, 1)
    await server.start()
    const clock = new SystemClock()
    const memory = new HeldMemory(1_000_000)
    const ignore = (): void => {}
    const context = { clock, memory, instance: 'entry-1', relays: { recordSent: ignore, recordEnd: ignore, recordUnable: ignore, recordAble: ignore }, versionPolicy: { ruleFor: () => ({}) } }
    const plan = { service: 'guide', session: 's', route: { isStream, isRepeatable: true }, fields: { promptParts: [] }, identity: {}, arrivedAt: clock.monotonic(), deadline: clock.monotonic() + TIMEOUT_MILLISECONDS }
    const answer = { callerDisconnected: new AbortController().signal, hasBegun: false, releaseWhenSent: (held: unknown) => held, beginStream: ignore, writeEvents: () => true, writeRest: ignore, endStream: ignore }
    const target = { id: 'entry-2', zone: 'valdivia', address: server.address }
    const plannedRelay = { number: 1, target, deadline: plan.deadline, answerTimeout: TIMEOUT_MILLISECONDS, eventGapTimeout: TIMEOUT_MILLISECONDS, progress: { sentAttempts: 0, triedServers: [], mayHaveRun: false }, isReplaceable: () => false }
    const request = { requestId: 'r', method: 'POST', path: '/', rawHeaders: [], body: Buffer.alloc(100), workspace: undefined }
    const runner = new RelayRunner(context as unknown as ForwardingContext, plan as unknown as PlanContext, request, answer as unknown as CallerAnswer, 1)
    return (await runner.run(plannedRelay as unknown as RelayPlan)).kind
  }

  for (const isStream of [false, true]) {
    const name = isStream ? 'a stream' : 'an answer'
    // The part before the reset was delivered as a complete answer.
    it(`takes ${name} without a length as broken after a reset (guards against a part that is delivered as a complete answer)`, async () => {
      assert.equal(await relay('reset', isStream), 'broken')
    })

    it(`takes ${name} without a length as complete after a FIN`, async () => {
      assert.equal(await relay('fin', isStream), 'answered')
    })

    it(`takes ${name} with status 000 as broken (guards against statuses that no caller can act on)`, async () => {
      assert.equal(await relay('fin', isStream, '000'), 'broken')
    })
  }
})
