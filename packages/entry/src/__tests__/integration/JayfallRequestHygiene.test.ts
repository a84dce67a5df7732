/** Tests of the requests and connections that the HTTP server for callers refuses. */

import assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as net from 'node:net'
import { after, before, describe, it } from 'node:test'

import { TestSystem, testCallerKey, testEngineService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'
const CONNECTION_LIMIT = 40
const MALFORMED_REQUESTS = 10_000
const WARM_UP_REQUESTS = 3000
/** Below the 4 s after which a request without an answer is given up. */
const REFUSAL_LIMIT_MILLISECONDS = 3000
const MEMORY_GROWTH_LIMIT_BYTES = 48 * 1024 * 1024

describe('requests that the HTTP server for callers refuses', () => {
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
  const createChatBody = (model: string): string => JSON.stringify({ model, messages: [{ role: 'user', content: 'draft' }], max_tokens: 2 })

  async function readRefusalCount (code: string): Promise<number> {
    const text = await (await fetch(url('/metrics'))).text()
    return Number(new RegExp(`^jayfall_refusals_total\\{code="${code}"\\} (\\d+)$`, 'm').exec(text)?.[1] ?? 0)
  }

  /** Sends raw bytes and returns everything that is received, or '' when the connection is closed without a response. */
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

  // Guards against a refusal that has no code of its own or that is not counted.
  describe('reports and counts each refusal by its code (guards against a refusal without a code or counter)', () => {
    const json = { 'content-type': 'application/json' }
    const cases: readonly { readonly code: string, readonly status: number, readonly body: string, readonly headers?: Readonly<Record<string, string>>, readonly key?: string }[] = [
      { code: 'body_too_large', status: 413, body: createChatBody('x'.repeat(5000)) },
      { code: 'body_malformed', status: 400, body: '{"model":' },
      { code: 'content_type_unsupported', status: 415, body: createChatBody('guide'), headers: { 'content-type': 'text/plain' } },
      { code: 'model_unknown', status: 404, body: createChatBody('nobody') },
      { code: 'version_forbidden', status: 403, body: createChatBody('secret-1') },
      { code: 'key_invalid', status: 401, body: createChatBody('guide'), key: 'not-a-key' }
    ]
    for (const { code, status, body, headers = json, key = testCallerKey(WORKSPACE) } of cases) {
      it(code, async () => {
        const before = await readRefusalCount(code)
        const response = await fetch(url('/v1/chat/completions'), { method: 'POST', headers: { authorization: `Bearer ${key}`, ...headers }, body })
        const answer = await response.json() as { error: { code: string, ran: string } }
        assert.deepEqual([response.status, answer.error.code, answer.error.ran], [status, code, 'no'])
        assert.equal(await readRefusalCount(code), before + 1)
      })
    }
  })

  const REQUEST_HEAD = 'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n'
  const rawCases: readonly (readonly [string, string, RegExp, string])[] = [
    ['a body that does not end', `${REQUEST_HEAD}content-length: 100\r\n\r\n{`, /^HTTP\/1.1 408 /, 'body_incomplete'],
    ['headers that do not end', REQUEST_HEAD, /^HTTP\/1.1 408 /, 'head_timeout'],
    ['headers above the size limit', `${REQUEST_HEAD}x-long: ${'x'.repeat(20_000)}\r\n\r\n`, /^HTTP\/1.1 431 /, 'head_too_large'],
    ['request smuggling by Content-Length and Transfer-Encoding', `${REQUEST_HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by two lengths', `${REQUEST_HEAD}content-length: 5\r\ncontent-length: 6\r\n\r\nabcde`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a folded header line', `${REQUEST_HEAD}transfer-encoding:\r\n chunked\r\n\r\n0\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a folded unknown header', `${REQUEST_HEAD}x-a: b\r\n c\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a space before the colon', `${REQUEST_HEAD}content-length : 5\r\n\r\nabcde`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a space after an unknown field name', `${REQUEST_HEAD}x : y\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a space after Host', `${REQUEST_HEAD}host : b\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by two hosts', `${REQUEST_HEAD}host: b\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a length with a sign', `${REQUEST_HEAD}content-length: +5\r\n\r\nabcde`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a bare line feed', `${REQUEST_HEAD}x-a: b\nx-b: c\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a space in the target', 'POST /a b HTTP/1.1\r\nhost: a\r\n\r\n', /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a chunk size with an underscore', `${REQUEST_HEAD}transfer-encoding: chunked\r\n\r\n1_0\r\n`, /^(HTTP\/1.1 400 |$)/, 'head_malformed'],
    ['request smuggling by another transfer coding', `${REQUEST_HEAD}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n`, /^HTTP\/1.1 400 /, 'head_malformed'],
    ['request smuggling by a chunk size that is not a number', `${REQUEST_HEAD}transfer-encoding: chunked\r\n\r\nzz\r\n`, /^(HTTP\/1.1 400 |$)/, 'head_malformed'],
    ['bytes that are not HTTP', 'GET / JAYFALL\r\n\r\n', /^HTTP\/1.1 400 /, 'head_malformed']
  ]
  for (const [name, bytes, expected, code] of rawCases) {
    // Guards against requests that occupy a connection, or that smuggle a second request past the parser.
    it(`refuses and counts ${name}`, async () => {
      const before = await readRefusalCount(code)
      assert.match(await sendRaw(bytes), expected)
      assert.equal(await readRefusalCount(code), before + 1)
    })
  }

  // Guards against a number of connections that exhausts the descriptors and the memory of the instance.
  it('closes and counts connections above the limit (guards against unlimited connections)', async () => {
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
    assert.ok(await readRefusalCount('connection_limit') >= 20)
  })

  // Guards against a memory leak in the handling of rejected requests.
  it('needs no additional memory after many malformed requests (guards against a memory leak)', async () => {
    const { processId } = system.entryProcess('entry-1')
    const readResidentBytes = (): number => Number(/^VmRSS:\s+(\d+) kB$/m.exec(fs.readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1]) * 1024
    const malformed: readonly (readonly [string, RegExp])[] = [
      [`${REQUEST_HEAD}content-length: 1\r\nconnection: close\r\n\r\n{`, /^HTTP\/1.1 400 /],
      [`${REQUEST_HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n`, /^HTTP\/1.1 400 /],
      ['NONSENSE\r\n\r\n', /^HTTP\/1.1 400 /],
      [`${REQUEST_HEAD}x : y\r\n\r\n`, /^HTTP\/1.1 400 /]
    ]
    const sendMany = async (total: number): Promise<void> => {
      let sent = 0
      await Promise.all(Array.from({ length: 16 }, async () => {
        while (sent < total) {
          const [bytes, expected] = malformed[sent++ % malformed.length]
          const startedAt = performance.now()
          assert.match(await sendRaw(bytes), expected)
          assert.ok(performance.now() - startedAt < REFUSAL_LIMIT_MILLISECONDS, 'refused without a wait')
        }
      }))
    }
    await sendMany(WARM_UP_REQUESTS)
    const before = readResidentBytes()
    await sendMany(MALFORMED_REQUESTS)
    const growth = readResidentBytes() - before
    assert.ok(growth < MEMORY_GROWTH_LIMIT_BYTES, `memory grew by ${growth} bytes`)
    const response = await fetch(url('/v1/chat/completions'), { method: 'POST', headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'content-type': 'application/json' }, body: createChatBody('guide') })
    assert.equal(response.status, 200)
  })
})
