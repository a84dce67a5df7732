/** Tests of the traces, metrics and logs of an instance. */

import assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import { after, before, describe, it } from 'node:test'

import { findFreePort, TEST_OPERATOR_KEY, TestProcess, TestSystem, testCallerKey, testEngineService, testPlainService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'
const TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
const PARENT_SPAN_ID = 'b7ad6b7169203331'
const WAIT_LIMIT_MILLISECONDS = 8000

async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
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
  // A test server in place of a collector that accepts OTLP over HTTP with JSON bodies.
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
        { id: 'engine-1', zone: 'valdivia', service: 'asistente-tallado', type: 'engine', options: ['--token-interval', '1', '--batch-slowdown', '0', '--token-characters', '4096'] },
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
  const createChatBody = (tokens: number): string => JSON.stringify({ model: 'guide', messages: [{ role: 'user', content: 'draft' }], max_tokens: tokens, stream: true })

  describe('traces', () => {
    before(async () => {
      const chat = await fetch(url('/v1/chat/completions'), { method: 'POST', headers: { ...headers, traceparent: `00-${TRACE_ID}-${PARENT_SPAN_ID}-01` }, body: createChatBody(5) })
      await chat.text()
      assert.match(chat.headers.get('traceparent') ?? '', new RegExp(`^00-${TRACE_ID}-[0-9a-f]{16}-01$`), 'the response contains the trace of the caller')
    })

    // Guards against a stage of a request that is missing in its trace.
    it('creates spans of queue, attempt and store call below the span of the request (guards against a stage without a span)', async () => {
      const traceCommand = new TestProcess('trace', 'command/src/main.js', ['trace', 'show', TRACE_ID, '--entry', system.callersAddress('entry-1'), '--operator-key', TEST_OPERATOR_KEY])
      await waitUntil(() => !traceCommand.isRunning)
      assert.match(traceCommand.output, /^request .*status=200/)
      for (const hop of ['queue', 'attempt', 'store bill']) assert.match(traceCommand.output, new RegExp(`^  ${hop} start=\\+`, 'm'), traceCommand.output)
    })

    // Guards against spans that are not written to the trace file or not exported to the collector.
    it('writes a trace to the file and exports it to the collector (guards against lost traces)', async () => {
      await waitUntil(() => fs.existsSync(traceFile) && fs.readFileSync(traceFile, 'utf8').includes(TRACE_ID) && exported.includes(TRACE_ID))
      assert.ok(fs.readFileSync(traceFile, 'utf8').includes(`"parentSpanId":"${PARENT_SPAN_ID}"`))
    })

    // Guards against log lines without the identifier of the trace.
    it('logs the trace identifier of a request (guards against log lines that cannot be matched with a trace)', () => {
      assert.match(system.entryProcess('entry-1').output, new RegExp(`event=request_finished .*trace=${TRACE_ID}`))
    })

    // Guards against traces that are readable with the key of a caller.
    it('refuses a request for a trace without an operator key (guards against access with another key)', async () => {
      assert.equal((await fetch(url(`/traces/${TRACE_ID}`), { headers })).status, 401)
    })
  })

  // Guards against metrics that contain only the thread that handles the request for them.
  it('sums the metrics of all threads (guards against metrics of only one thread)', async () => {
    const enrol = (key: number) => fetch(url('/v1/services/secretaria-talleres/places'), { method: 'POST', headers: { ...headers, connection: 'close' }, body: JSON.stringify({ key }) })
    await Promise.all(Array.from({ length: 40 }, (_, key) => enrol(key).then(response => response.text())))
    const readCount = async (): Promise<number> => Number(/^jayfall_requests_total\{code="200",class="short"\} (\d+)$/m.exec(await (await fetch(url('/metrics'))).text())?.[1])
    await waitUntil(async () => await readCount() === 40)
    const text = await (await fetch(url('/metrics'))).text()
    assert.match(text, /^jayfall_first_token_seconds\{class="standard",quantile="0.95"\} [\d.e-]+$/m)
    assert.match(text, /^jayfall_attempts_total\{result="finished"\} 41$/m)
    const status = await (await fetch(url('/status'), { headers: { authorization: `Bearer ${TEST_OPERATOR_KEY}` } })).json() as { threads: object[] }
    assert.equal(status.threads.length, 2)
  })

  // Guards against unread events that accumulate in memory.
  it('disconnects a caller that does not read its response (guards against unlimited memory for unread events)', async () => {
    const [host, port] = system.callersAddress('entry-1').split(':')
    const payload = createChatBody(100_000)
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
