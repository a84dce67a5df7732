/** Tests of the replacement of keys in a running instance. */

import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { after, before, describe, it } from 'node:test'

import { delay } from '#jayfall/shared'
import { TEST_OPERATOR_KEY, TestSystem, testCallerKey, testEngineService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'
const NEW_OPERATOR_KEY = 'another-key-of-the-operator'
const FIRST_PASSWORD = 'first:a-password-for-tests-of-more-than-32-characters'
const SECOND_PASSWORD = 'second:another-password-for-tests-of-more-than-32-characters'
const RELOAD_TIMEOUT_MILLISECONDS = 10_000

describe('keys that are replaced while an instance runs', () => {
  let system: TestSystem

  before(async () => {
    system = await TestSystem.start({
      servers: [{ id: 'engine-1', zone: 'valdivia', service: 'asistente-tallado', type: 'engine' }],
      entries: [{ id: 'entry-1', zone: 'valdivia' }],
      catalogue: [testVersion('guide-1'), testEngineService('asistente-tallado', ['guide-1']), testWorkspace(WORKSPACE, ['guide-1'])]
    })
  })

  after(async () => { await system.stop() })

  const requestStatusRoute = async (key: string): Promise<number> =>
    (await fetch(`http://${system.callersAddress('entry-1')}/status`, { headers: { authorization: `Bearer ${key}` } })).status

  const sendChatRequest = async (session?: string): Promise<Response> => {
    const response = await fetch(`http://${system.callersAddress('entry-1')}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'content-type': 'application/json', ...(session === undefined ? {} : { 'x-jayfall-session': session }) },
      body: JSON.stringify({ model: 'guide', max_tokens: 2, messages: [{ role: 'user', content: 'review' }] })
    })
    await response.text()
    return response
  }

  // Guards against a removed operator key that is still accepted, and against sessions that a new password invalidates.
  it('rejects the replaced operator key and continues sessions under a new password (guards against stale keys and lost sessions)', async () => {
    const session = (await sendChatRequest()).headers.get('x-jayfall-session') ?? ''
    assert.equal(await requestStatusRoute(TEST_OPERATOR_KEY), 200)
    system.changeSettings('entry-1', {
      keys: { 'operator-hashes': createHash('sha256').update(NEW_OPERATOR_KEY).digest('hex'), 'seal-passwords': `${SECOND_PASSWORD}, ${FIRST_PASSWORD}` }
    })
    const deadline = Date.now() + RELOAD_TIMEOUT_MILLISECONDS
    while (await requestStatusRoute(NEW_OPERATOR_KEY) !== 200 && Date.now() < deadline) await delay(100)
    assert.equal(await requestStatusRoute(NEW_OPERATOR_KEY), 200)
    assert.equal(await requestStatusRoute(TEST_OPERATOR_KEY), 401)
    const next = await sendChatRequest(session)
    assert.equal(next.status, 200)
    assert.match(next.headers.get('x-jayfall-session') ?? '', /^Fe26\.2\*second\*/)
  })

  // Guards against keys that are lost when the instance reads the settings file while it is being written.
  it('keeps its keys when the settings are invalid (guards against a partly written file)', async () => {
    system.changeSettings('entry-1', { keys: { 'seal-passwords': 'short' } })
    await system.entryProcess('entry-1').waitForOutput('event=keys_not_replaced')
    assert.equal(await requestStatusRoute(NEW_OPERATOR_KEY), 200)
  })
})
