/** Tests of requests to a cascade through separate processes. */

import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'

import { QualityEstimates, requestKind } from '#jayfall/rollout'
import { HttpTableStore, PlatformHttp } from '#jayfall/store'
import { delay } from '#jayfall/shared'
import { TestSystem, testCallerKey, testEngineService, testVersion, testWorkspace } from '#jayfall/testbed'

import { ROLLOUTS_TABLE, qualityKey } from '../../JayfallRolloutRows'

const WORKSPACE = 'taller-uno'
/** Time from the start of the control thread until the data plane has the ratings. */
const RATINGS_DELAY_MILLISECONDS = 1000

interface BillBatch {
  readonly bills: readonly { readonly key: string, readonly source: string }[]
}

describe('a cascade', () => {
  let system: TestSystem

  before(async () => {
    system = await TestSystem.start({
      servers: [
        { id: 'engine-small', zone: 'valdivia', service: 'small', type: 'engine' },
        { id: 'engine-large', zone: 'valdivia', service: 'large', type: 'engine' }
      ],
      entries: [{ id: 'entry-1', zone: 'valdivia', settings: { ledger: { 'batch-interval': '200ms' } } }],
      catalogue: [
        testVersion('guide-a'), testVersion('guide-b', { price: { promptPerMillionTokens: 5, outputPerMillionTokens: 10 } }),
        { kind: 'cascade', id: 'draft', owner: 'test', steps: ['guide-a', 'guide-b'], qualityTarget: 0.99, deadline: 30_000 },
        testEngineService('small', ['guide-a']), testEngineService('large', ['guide-b']), testWorkspace(WORKSPACE, ['draft'])
      ]
    })
    await writeRatings()
    // An instance reads the ratings when it starts, and then only once in each read interval.
    await system.restartEntry('entry-1')
    await delay(RATINGS_DELAY_MILLISECONDS)
  })

  after(async () => { await system.stop() })

  /** Stores ratings by which weak responses of the first step are bad and all other responses are good. */
  async function writeRatings (): Promise<void> {
    const estimates = new QualityEstimates()
    const kind = requestKind({ workspace: WORKSPACE, workClass: 'standard', promptTokens: 6, messages: 1 })
    for (let index = 0; index < 2000; index++) {
      for (const signal of ['weak', 'plain'] as const) {
        estimates.addRating(kind, 0, signal, signal === 'weak' ? 0 : 1)
        estimates.addRating(kind, 1, signal, 1)
      }
    }
    const http = new PlatformHttp({ address: system.directAddress('platform') })
    await new HttpTableStore(http).transact([{ table: ROLLOUTS_TABLE, key: qualityKey('draft'), value: { kind: 'quality', ratings: estimates.snapshot() } }])
    http.close()
  }

  async function sendChatRequest (key: string, tokens: number, stream = false): Promise<{ status: number, version: string | null, text: string }> {
    const response = await fetch(`http://${system.callersAddress('entry-1')}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'content-type': 'application/json', 'idempotency-key': key },
      body: JSON.stringify({ model: 'draft', messages: [{ role: 'user', content: 'review my cutting log' }], max_tokens: tokens, stream })
    })
    return { status: response.status, version: response.headers.get('x-jayfall-version'), text: await response.text() }
  }

  async function readBills (): Promise<BillBatch['bills']> {
    await delay(1000)
    const { names } = await system.readStandIn<{ names: readonly string[] }>('platform', '/objects?prefix=bills/')
    const batches = await Promise.all(names.map(name => system.readStandIn<BillBatch>('platform', `/objects/${encodeURIComponent(name)}`)))
    return batches.flatMap(({ bills }) => bills)
  }

  it('delivers the response of the first step when it is acceptable', async () => {
    const { status, version } = await sendChatRequest('good', 8)
    assert.deepEqual({ status, version }, { status: 200, version: 'guide-a' })
  })

  // Guards against a bill for a replaced response, and against events of it in the stream of its replacement.
  it('bills and streams only the delivered response after an escalation (guards against a bill for, and bytes of, a replaced response)', async () => {
    const answers = await Promise.all([0, 1, 2, 3].map(index => sendChatRequest(`weak-${index}`, 3, true)))
    const escalated = answers.findIndex(({ version }) => version === 'guide-b')
    assert.notEqual(escalated, -1)
    assert.equal(answers[escalated].text.match(/"content":"t0 "/g)?.length, 1)
    assert.match(answers[escalated].text, /\[DONE\]/)
    const bills = (await readBills()).filter(({ key }) => key === `${WORKSPACE}/weak-${escalated}`)
    assert.deepEqual(bills.map(({ source }) => source), ['guide-b'])
  })

  // Guards against an error for the caller although the buffered response of the previous step is complete.
  it('delivers and bills the response of the previous step when the next step fails (guards against the loss of that response)', async () => {
    await system.changeLink('engine-large', { cut: true })
    const { status, version, text } = await sendChatRequest('stand-in', 3)
    await system.changeLink('engine-large', { cut: false })
    assert.deepEqual({ status, version }, { status: 200, version: 'guide-a' })
    assert.match(text, /t0 t1 t2/)
    assert.deepEqual((await readBills()).filter(({ key }) => key === `${WORKSPACE}/stand-in`).map(({ source }) => source), ['guide-a'])
  })
})
