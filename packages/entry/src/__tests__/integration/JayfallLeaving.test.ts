/** Tests of instances and backend servers that are marked or listed as leaving. */

import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'

import { delay } from '#jayfall/shared'
import { TestSystem, testCallerKey, testEngineService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'
const TIMEOUT_MILLISECONDS = 25_000

describe('instances and servers that are leaving', () => {
  let system: TestSystem

  before(async () => {
    system = await TestSystem.start({
      servers: [{ id: 'engine-1', zone: 'valdivia', service: 'asistente', type: 'engine' }],
      entries: [{ id: 'entry-1', zone: 'valdivia' }, { id: 'entry-2', zone: 'valdivia' }, { id: 'entry-3', zone: 'osorno' }],
      catalogue: [testVersion('guide-1'), testEngineService('asistente', ['guide-1']), testWorkspace(WORKSPACE, ['guide-1'])]
    })
  })

  after(async () => { await system.stop() })

  async function waitUntil (description: string, condition: () => Promise<boolean>): Promise<void> {
    for (const deadline = Date.now() + TIMEOUT_MILLISECONDS; !await condition(); await delay(100)) {
      assert.ok(Date.now() < deadline, `${description} did not occur in time`)
    }
  }

  async function readReadinessStatus (entry: string): Promise<number> {
    return (await fetch(`http://${system.callersAddress(entry)}/readyz`)).status
  }

  async function sendChatRequest (entry: string): Promise<number> {
    const response = await fetch(`http://${system.callersAddress(entry)}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'guide', messages: [{ role: 'user', content: 'x' }], max_tokens: 1 })
    })
    await response.text()
    return response.status
  }

  // Guards against catalogue marks that an instance ignores, or that it keeps after their removal.
  it('makes a marked instance unready, and ready again without the mark (guards against marks without effect)', async () => {
    await system.putEntry({ kind: 'instance-mark', id: 'entry-1', leaving: true })
    await waitUntil('unreadiness', async () => await readReadinessStatus('entry-1') === 503)
    assert.equal(await readReadinessStatus('entry-2'), 200)
    await system.putEntry({ kind: 'instance-mark', id: 'entry-1', leaving: false })
    await waitUntil('readiness', async () => await readReadinessStatus('entry-1') === 200)
  })

  // Guards against new work for a leaving server from an instance in another zone, which does not read the list of the server's zone.
  it('sends no work to a server that the platform lists as leaving, in all zones (guards against new work for a leaving server)', async () => {
    for (const entry of ['entry-1', 'entry-2', 'entry-3']) assert.equal(await sendChatRequest(entry), 200)
    await fetch(`http://${system.directAddress('platform')}/instances/engine-1`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ id: 'engine-1', role: 'backend', zone: 'valdivia', address: '127.0.0.1:1', state: 'leaving' })
    })
    await waitUntil('refusals', async () => (await Promise.all(['entry-1', 'entry-2', 'entry-3'].map(sendChatRequest))).every(status => status === 503))
  })
})
