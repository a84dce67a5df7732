import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'

import { type Bill } from '#jayfall/ledger'
import { delay } from '#jayfall/shared'
import { TestProcess, TestSystem, testCallerKey, testEngineService, testPlainService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'

describe('the ledger of separate processes', () => {
  let system: TestSystem

  const call = async (path: string, key: string, body?: object) => {
    const response = await fetch(`http://${system.callersAddress('entry-1')}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'idempotency-key': key, 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body)
    })
    return { status: response.status, body: await response.json() as { state?: string, outcome?: { body: string }, error?: { code: string, ran: string } } }
  }
  const draft = (key: string) => call('/v1/chat/completions', key, { model: 'guide', max_tokens: 3, messages: [{ role: 'user', content: 'draft' }] })
  const enrol = (key: string) => call('/v1/services/desk/enrol', key, { student: key })
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

  it('guards against an outcome that cannot be asked for later', async () => {
    await enrol('student-1')
    const { body } = await call('/v1/requests/student-1', 'unused')
    assert.equal(body.state, 'done')
    assert.match(body.outcome?.body ?? '', /confirmation/)
    assert.equal((await call('/v1/requests/student-2', 'unused')).body.error?.code, 'request_unknown')
  })

  it('guards against work that cannot be billed: a full backlog refuses it before it runs, and bills nothing less', async () => {
    await system.changePlatform({ down: true })
    let finished = 0
    let refusal: Awaited<ReturnType<typeof draft>> | undefined
    for (let index = 0; refusal === undefined && index < 200; index++) {
      const answer = await draft(`draft-${index}`)
      if (answer.status === 200) finished++
      else refusal = answer
    }
    assert.equal(refusal?.body.error?.code, 'billing_backlog_full')
    assert.equal(refusal?.body.error?.ran, 'no')
    const enrolment = await enrol('student-3')
    assert.deepEqual([enrolment.body.error?.code, enrolment.body.error?.ran], ['store_unavailable', 'unknown'])
    await system.changePlatform({ down: false })
    let bills: readonly Bill[] = []
    for (let tries = 0; tries < 40 && bills.length < finished + 1; tries++) {
      await delay(500)
      bills = await exportBills()
    }
    const keys = bills.map(({ key, source }) => `${source} ${key}`).sort()
    const expected = ['desk/enrol taller-uno/student-1', ...Array.from({ length: finished }, (_, index) => `guide-1 taller-uno/draft-${index}`)].sort()
    assert.deepEqual(keys, expected)
  })

  it('guards against bills lost by a planned stop', async () => {
    let answer = await draft('last-draft')
    for (let tries = 0; tries < 20 && answer.status !== 200; tries++) {
      await delay(200)
      answer = await draft('last-draft')
    }
    assert.equal(await system.entryProcess('entry-1').stop(), 0)
    assert.ok((await exportBills()).some(({ key }) => key === `${WORKSPACE}/last-draft`))
  })
})
