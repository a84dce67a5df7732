import assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import { after, before, describe, it } from 'node:test'

import { findFreePort, TEST_OPERATOR_KEY, TestProcess, TestSystem, testCallerKey, testEngineService, testPlainService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'
const TRACE = '0af7651916cd43dd8448eb211c80319c'
const PARENT = 'b7ad6b7169203331'
const WAIT_LIMIT_MILLISECONDS = 8000

async function waitFor (condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = Date.now() + WAIT_LIMIT_MILLISECONDS
  while (!await condition()) {
    assert.ok(Date.now() < deadline, 'the condition did not come true in time')
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}

describe('telemetry of an instance with two data threads', () => {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'jayfall-telemetry-'))
  const traceFile = path.join(directory, 'traces.jsonl')
  let exported = ''
  // A stand-in of a collector that takes OTLP over HTTP with JSON bodies.
  const collector = http.createServer((request, response) => {
    request.on('data', chunk => { exported += String(chunk) })
    request.on('end', () => response.writeHead(200, { 'content-type': 'application/json' }).end('{}'))
  })
  let system: TestSystem

  before(async () => {
    const port = await findFreePort()
    await new Promise<void>(resolve => collector.listen(port, '127.0.0.1', resolve))
    system = await TestSystem.start({
      servers: [
        { id: 'engine-1', zone: 'valdivia', service: 'asistente-tallado', type: 'engine', options: ['--token-interval', '1', '--batch-slowdown', '0'] },
        { id: 'plain-1', zone: 'valdivia', service: 'secretaria-talleres', type: 'plain' }
      ],
      entries: [{
        id: 'entry-1',
        zone: 'valdivia',
        settings: {
          threads: { 'data-threads': '2' },
          callers: { 'idle-stream-timeout': '700ms' },
          telemetry: { 'trace-file': traceFile, 'otlp-address': `127.0.0.1:${port}` }
        }
      }],
      catalogue: [
        testVersion('guide-1', { limits: { maximumPromptTokens: 10_000, maximumOutputTokens: 100_000, concurrentRequests: 100 } }),
        testEngineService('asistente-tallado', ['guide-1']), testPlainService('secretaria-talleres'), testWorkspace(WORKSPACE, ['guide-1', 'secretaria-talleres'])
      ]
    })
  })

  after(async () => {
    await system.stop()
    collector.close()
    collector.closeAllConnections()
    fs.rmSync(directory, { recursive: true })
  })

  const url = (route: string): string => `http://${system.callersAddress('entry-1')}${route}`
  const headers = { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'content-type': 'application/json' }
  const body = (tokens: number): string => JSON.stringify({ model: 'guide', messages: [{ role: 'user', content: 'draft' }], max_tokens: tokens, stream: true })

  describe('traces', () => {
    before(async () => {
      const chat = await fetch(url('/v1/chat/completions'), { method: 'POST', headers: { ...headers, traceparent: `00-${TRACE}-${PARENT}-01` }, body: body(5) })
      await chat.text()
      assert.match(chat.headers.get('traceparent') ?? '', new RegExp(`^00-${TRACE}-[0-9a-f]{16}-01$`), 'the caller gets its trace back')
    })

    it('guards against a hop without a span: queue, attempt and store call below the caller\'s span', async () => {
      const show = new TestProcess('trace', 'command/src/main.js', ['trace', 'show', TRACE, '--entry', system.callersAddress('entry-1'), '--operator-key', TEST_OPERATOR_KEY])
      await waitFor(() => !show.isRunning)
      assert.match(show.output, /^request .*status=200/)
      for (const hop of ['queue', 'attempt', 'store bill']) assert.match(show.output, new RegExp(`^  ${hop} start=\\+`, 'm'), show.output)
    })

    it('guards against a trace that leaves neither to the file nor to the collector', async () => {
      await waitFor(() => fs.existsSync(traceFile) && fs.readFileSync(traceFile, 'utf8').includes(TRACE) && exported.includes(TRACE))
      assert.ok(fs.readFileSync(traceFile, 'utf8').includes(`"parentSpanId":"${PARENT}"`))
    })

    it('guards against log lines that cannot be matched with a trace', () => {
      assert.match(system.entryProcess('entry-1').output, new RegExp(`event=request_finished .*trace=${TRACE}`))
    })

    it('guards against a wrong operator key', async () => {
      assert.equal((await fetch(url(`/traces/${TRACE}`), { headers })).status, 401)
    })
  })

  it('guards against metrics of only one thread', async () => {
    const enrol = (key: number) => fetch(url('/v1/services/secretaria-talleres/places'), { method: 'POST', headers: { ...headers, connection: 'close' }, body: JSON.stringify({ key }) })
    await Promise.all(Array.from({ length: 40 }, (_, key) => enrol(key).then(response => response.text())))
    const readCount = async (): Promise<number> => Number(/^jayfall_requests_total\{code="200",class="short"\} (\d+)$/m.exec(await (await fetch(url('/metrics'))).text())?.[1])
    await waitFor(async () => await readCount() === 40)
    const text = await (await fetch(url('/metrics'))).text()
    assert.match(text, /^jayfall_first_token_seconds\{class="standard",quantile="0.95"\} [\d.e-]+$/m)
    assert.match(text, /^jayfall_attempts_total\{result="finished"\} 41$/m)
    const status = await (await fetch(url('/status'), { headers: { authorization: `Bearer ${TEST_OPERATOR_KEY}` } })).json() as { threads: object[] }
    assert.equal(status.threads.length, 2)
  })

  it('guards against memory that grows for a caller that reads nothing', async () => {
    const [host, port] = system.callersAddress('entry-1').split(':')
    const payload = body(100_000)
    const socket = net.connect(Number(port), host)
    socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: ${headers.authorization}\r\ncontent-type: application/json\r\ncontent-length: ${payload.length}\r\n\r\n${payload}`)
    socket.pause()
    socket.on('error', () => {})
    const { length } = system.entryProcess('entry-1').output
    const deadline = Date.now() + 30_000
    while (!system.entryProcess('entry-1').output.slice(length).includes('event=idle_caller_disconnected')) {
      assert.ok(Date.now() < deadline, 'the caller was not disconnected')
      await new Promise(resolve => setTimeout(resolve, 100))
    }
    assert.match(await (await fetch(url('/metrics'))).text(), /^jayfall_idle_streams_total 1$/m)
    socket.destroy()
  })
})
