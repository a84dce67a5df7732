/** Tests of recorded outcomes and bills through separate processes. */

import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'

import { type Bill } from '#jayfall/ledger'
import { delay } from '#jayfall/shared'
import { TestProcess, TestSystem, testCallerKey, testEngineService, testPlainService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'

describe('the ledger of separate processes', () => {
  let system: TestSystem

  const sendRequest = async (path: string, key: string, body?: object) => {
    const response = await fetch(`http://${system.callersAddress('entry-1')}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'idempotency-key': key, 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body)
    })
    return { status: response.status, body: await response.json() as { state?: string, outcome?: { body: string }, error?: { code: string, ran: string } } }
  }
  const sendChatRequest = (key: string) => sendRequest('/v1/chat/completions', key, { model: 'guide', max_tokens: 3, messages: [{ role: 'user', content: 'draft' }] })
  const enrol = (key: string) => sendRequest('/v1/services/desk/enrol', key, { student: key })
  const exportBills = async (): Promise<readonly Bill[]> => {
    const command = new TestProcess('bill export', 'command/src/main.js', ['bill', 'export', '--json', '--platform', system.directAddress('platform')])
    await command.waitForOutput('\n}')
    return (JSON.parse(command.output) as { bills: readonly Bill[] }).bills
  }

  before(async () => {
    system = await TestSystem.start({
      servers: [
        { id: 'engine-1', zone: 'valdivia', service: 'asistente', type: 'engine' },
        { id: 'desk-1', zone: 'valdivia', service: 'desk', type: 'plain' }
      ],
      entries: [
        { id: 'entry-1', zone: 'valdivia', settings: { ledger: { 'bill-memory': '2KiB', 'batch-interval': '300ms' } } },
        { id: 'entry-2', zone: 'valdivia' }
      ],
      catalogue: [testVersion('guide-1'), testEngineService('asistente', ['guide-1']), testPlainService('desk'), testWorkspace(WORKSPACE, ['guide-1', 'desk'])]
    })
  })

  after(async () => { await system.stop() })

  // Guards against a recorded outcome that the caller cannot query afterwards.
  it('returns the outcome of an earlier call by its key (guards against an outcome that cannot be queried)', async () => {
    await enrol('student-1')
    const { body } = await sendRequest('/v1/requests/student-1', 'unused')
    assert.equal(body.state, 'done')
    assert.match(body.outcome?.body ?? '', /confirmation/)
    assert.equal((await sendRequest('/v1/requests/student-2', 'unused')).body.error?.code, 'request_unknown')
  })

  // Guards against executed work without a bill when the store is down and the memory for bills is full.
  it('refuses work before it runs while the backlog of bills is full, and bills all finished work (guards against unbilled work)', async () => {
    await system.changePlatform({ down: true })
    let finished = 0
    let refusal: Awaited<ReturnType<typeof sendChatRequest>> | undefined
    for (let index = 0; refusal === undefined && index < 200; index++) {
      const answer = await sendChatRequest(`draft-${index}`)
      if (answer.status === 200) finished++
      else refusal = answer
    }
    assert.equal(refusal?.body.error?.code, 'billing_backlog_full')
    assert.equal(refusal?.body.error?.ran, 'no')
    const enrolment = await enrol('student-3')
    assert.deepEqual([enrolment.body.error?.code, enrolment.body.error?.ran], ['store_unavailable', 'unknown'])
    await system.changePlatform({ down: false })
    let bills: readonly Bill[] = []
    for (let attempts = 0; attempts < 40 && bills.length < finished + 1; attempts++) {
      await delay(500)
      bills = await exportBills()
    }
    const keys = bills.map(({ key, source }) => `${source} ${key}`).sort()
    const expected = ['desk/enrol taller-uno/student-1', ...Array.from({ length: finished }, (_, index) => `guide-1 taller-uno/draft-${index}`)].sort()
    assert.deepEqual(keys, expected)
  })

  // Guards against an instance that stops before it has written the bills in its memory.
  it('writes all bills before a planned stop (guards against lost bills)', async () => {
    let answer = await sendChatRequest('last-draft')
    for (let attempts = 0; attempts < 20 && answer.status !== 200; attempts++) {
      await delay(200)
      answer = await sendChatRequest('last-draft')
    }
    assert.equal(await system.entryProcess('entry-1').stop(), 0)
    assert.ok((await exportBills()).some(({ key }) => key === `${WORKSPACE}/last-draft`))
  })
})
