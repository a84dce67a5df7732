import assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as net from 'node:net'
import { after, before, describe, it } from 'node:test'

import { TestSystem, testCallerKey, testEngineService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'
const CONNECTION_LIMIT = 40
const MALFORMED_REQUESTS = 10_000
const WARM_UP_REQUESTS = 3000
const MEMORY_GROWTH_LIMIT = 48 * 1024 * 1024

describe('what the callers\' server refuses', () => {
  let system: TestSystem

  before(async () => {
    system = await TestSystem.start({
      servers: [{ id: 'engine-1', zone: 'valdivia', service: 'asistente-tallado', type: 'engine' }],
      entries: [{
        id: 'entry-1',
        zone: 'valdivia',
        settings: {
          threads: { 'data-threads': '1' },
          telemetry: { 'log-level': 'warn' },
          callers: { 'body-limit': '4KiB', 'header-timeout': '1s', 'body-timeout': '500ms', 'connection-limit': String(CONNECTION_LIMIT) }
        }
      }],
      catalogue: [testVersion('guide-1'), testVersion('secret-1', { model: 'secret' }), testEngineService('asistente-tallado', ['guide-1', 'secret-1']), testWorkspace(WORKSPACE, ['guide-1'])]
    })
  })

  after(async () => { await system.stop() })

  const url = (path: string): string => `http://${system.callersAddress('entry-1')}${path}`
  const chat = (model: string): string => JSON.stringify({ model, messages: [{ role: 'user', content: 'draft' }], max_tokens: 2 })

  async function refusals (code: string): Promise<number> {
    const text = await (await fetch(url('/metrics'))).text()
    return Number(new RegExp(`^jayfall_refusals_total\\{code="${code}"\\} (\\d+)$`, 'm').exec(text)?.[1] ?? 0)
  }

  /** Sends raw bytes and returns the first status line and the body, or '' when the connection was closed without an answer. */
  function sendRaw (bytes: string): Promise<string> {
    const [host, port] = system.callersAddress('entry-1').split(':')
    return new Promise(resolve => {
      const socket = net.connect(Number(port), host, () => socket.write(bytes))
      let answer = ''
      socket.on('data', chunk => { answer += String(chunk) })
      socket.on('error', () => {})
      socket.on('close', () => resolve(answer))
      setTimeout(() => socket.destroy(), 4000).unref()
    })
  }

  describe('guards against a refusal without its own code or counter', () => {
    const json = { 'content-type': 'application/json' }
    const cases: readonly { readonly code: string, readonly status: number, readonly body: string, readonly headers?: Readonly<Record<string, string>>, readonly key?: string }[] = [
      { code: 'body_too_large', status: 413, body: chat('x'.repeat(5000)) },
      { code: 'body_malformed', status: 400, body: '{"model":' },
      { code: 'content_type_unsupported', status: 415, body: chat('guide'), headers: { 'content-type': 'text/plain' } },
      { code: 'model_unknown', status: 404, body: chat('nobody') },
      { code: 'version_forbidden', status: 403, body: chat('secret-1') },
      { code: 'key_invalid', status: 401, body: chat('guide'), key: 'not-a-key' }
    ]
    for (const { code, status, body, headers = json, key = testCallerKey(WORKSPACE) } of cases) {
      it(code, async () => {
        const before = await refusals(code)
        const response = await fetch(url('/v1/chat/completions'), { method: 'POST', headers: { authorization: `Bearer ${key}`, ...headers }, body })
        const answer = await response.json() as { error: { code: string, ran: string } }
        assert.deepEqual([response.status, answer.error.code, answer.error.ran], [status, code, 'no'])
        assert.equal(await refusals(code), before + 1)
      })
    }
  })

  const HEAD = 'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n'
  const rawCases: readonly (readonly [string, string, RegExp, string])[] = [
    ['a body without end', `${HEAD}content-length: 100\r\n\r\n{`, /^HTTP\/1.1 408 /, 'body_incomplete'],
    ['headers without end', HEAD, /^HTTP\/1.1 408 /, 'head_timeout'],
    ['headers without limit', `${HEAD}x-long: ${'x'.repeat(20_000)}\r\n\r\n`, /^HTTP\/1.1 431 /, 'head_too_large'],
    ['smuggling by Content-Length and Transfer-Encoding', `${HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['smuggling by two lengths', `${HEAD}content-length: 5\r\ncontent-length: 6\r\n\r\nabcde`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['smuggling by a folded header line', `${HEAD}transfer-encoding:\r\n chunked\r\n\r\n0\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['smuggling by a folded unknown header', `${HEAD}x-a: b\r\n c\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['smuggling by a blank before the colon', `${HEAD}content-length : 5\r\n\r\nabcde`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['smuggling by another coding', `${HEAD}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['smuggling by a chunk size that is not a number', `${HEAD}transfer-encoding: chunked\r\n\r\nzz\r\n`, /^(HTTP\/1.1 400 |$)/, 'head_malformed'],
    ['bytes that are not HTTP', 'GET / JAYFALL\r\n\r\n', /^HTTP\/1.1 400 /, 'head_malformed']
  ]
  for (const [name, bytes, expected, code] of rawCases) {
    it(`guards against ${name}`, async () => {
      const before = await refusals(code)
      assert.match(await sendRaw(bytes), expected)
      assert.equal(await refusals(code), before + 1)
    })
  }

  it('guards against connections above the limit', async () => {
    const [host, port] = system.callersAddress('entry-1').split(':')
    const sockets = Array.from({ length: CONNECTION_LIMIT + 20 }, () => net.connect(Number(port), host))
    const closed = await new Promise<number>(resolve => {
      let count = 0
      for (const socket of sockets) {
        socket.on('error', () => {})
        socket.once('close', () => { count++ })
      }
      setTimeout(() => resolve(count), 700)
    })
    for (const socket of sockets) socket.destroy()
    assert.ok(closed >= 20, `${closed} connections were closed`)
    assert.ok(await refusals('connection_limit') >= 20)
  })

  it('guards against memory that grows with malformed requests', async () => {
    const { processId } = system.entryProcess('entry-1')
    const resident = (): number => Number(/^VmRSS:\s+(\d+) kB$/m.exec(fs.readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1]) * 1024
    const malformed = [`${HEAD}content-length: 1\r\nconnection: close\r\n\r\n{`, `${HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n`, 'NONSENSE\r\n\r\n', `${HEAD}x : y\r\n\r\n`]
    const sendMany = async (total: number): Promise<void> => {
      let sent = 0
      await Promise.all(Array.from({ length: 16 }, async () => { while (sent < total) await sendRaw(malformed[sent++ % malformed.length]) }))
    }
    await sendMany(WARM_UP_REQUESTS)
    const before = resident()
    await sendMany(MALFORMED_REQUESTS)
    const growth = resident() - before
    assert.ok(growth < MEMORY_GROWTH_LIMIT, `memory grew by ${growth} bytes`)
    const response = await fetch(url('/v1/chat/completions'), { method: 'POST', headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'content-type': 'application/json' }, body: chat('guide') })
    assert.equal(response.status, 200)
  })
})
