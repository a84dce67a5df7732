/** Tests of requests to engines and plain services through separate processes. */

import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'

import OpenAI from 'openai'
import { TestSystem, testCallerKey, testEngineService, testPlainService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'

describe('the path of a request through separate processes', () => {
  let system: TestSystem
  let client: OpenAI

  before(async () => {
    system = await TestSystem.start({
      servers: [
        { id: 'engine-1', zone: 'valdivia', service: 'asistente-tallado', type: 'engine' },
        { id: 'plain-1', zone: 'valdivia', service: 'secretaria-talleres', type: 'plain' }
      ],
      entries: [{ id: 'entry-1', zone: 'valdivia' }],
      catalogue: [
        testVersion('guide-1'),
        testEngineService('asistente-tallado', ['guide-1']),
        testPlainService('secretaria-talleres'),
        testWorkspace(WORKSPACE, ['guide-1', 'secretaria-talleres'])
      ]
    })
    client = new OpenAI({ baseURL: `http://${system.callersAddress('entry-1')}/v1`, apiKey: testCallerKey(WORKSPACE), maxRetries: 0 })
  })

  after(async () => { await system.stop() })

  describe('with the published client library', () => {
    const request = { model: 'guide', messages: [{ role: 'user' as const, content: 'review my cutting log' }], max_tokens: 5 }

    // Guards against a completion that the published client library cannot parse.
    it('returns an unstreamed completion (guards against a response that the library cannot parse)', async () => {
      const completion = await client.chat.completions.create(request)
      assert.equal(completion.choices[0].message.content, 't0 t1 t2 t3 t4 ')
      assert.equal(completion.usage?.completion_tokens, 5)
    })

    // Guards against an event stream that the published client library cannot parse.
    it('returns a streamed completion (guards against a response that the library cannot parse)', async () => {
      let text = ''
      for await (const chunk of await client.chat.completions.create({ ...request, stream: true })) text += chunk.choices[0]?.delta.content ?? ''
      assert.equal(text, 't0 t1 t2 t3 t4 ')
    })

    it('lists the models of the workspace', async () => {
      const models = await client.models.list()
      assert.deepEqual(models.data.map(({ id }) => id).sort(), ['guide', 'guide-1'])
    })
  })

  // Guards against a second execution of a call that a caller repeats with the same idempotency key.
  it('returns the recorded outcome of a repeated enrolment (guards against a second execution)', async () => {
    const enrol = () => fetch(`http://${system.callersAddress('entry-1')}/v1/services/secretaria-talleres/enrol`, {
      method: 'POST',
      headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'idempotency-key': 'student-7', 'content-type': 'application/json' },
      body: JSON.stringify({ student: 7 })
    })
    const first = await enrol()
    const second = await enrol()
    assert.equal(await first.text(), await second.text())
    assert.equal(second.headers.get('x-jayfall-replayed'), '1')
    assert.deepEqual(Object.values(await system.readStandIn<object>('plain-1', '/runs')), [1])
  })
})
