/** Tests of an instance with several data threads, and of the bundled program. */

import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import { after, before, describe, it } from 'node:test'

import OpenAI from 'openai'
import { createTestAddress, findFreePort, TestSystem, testCallerKey, testEngineService, testVersion, testWorkspace } from '#jayfall/testbed'

const WORKSPACE = 'taller-uno'
/** Streams that are opened at the same time. On a busy machine, the first thread to run may accept all of them. */
const STREAMS_PER_BATCH = 24
const MAXIMUM_STREAMS = 8 * STREAMS_PER_BATCH

describe('an instance with three data threads', () => {
  let system: TestSystem

  before(async () => {
    system = await TestSystem.start({
      servers: [{ id: 'engine-1', zone: 'valdivia', service: 'asistente-tallado', type: 'engine', options: ['--slots', String(MAXIMUM_STREAMS), '--token-interval', '20', '--batch-slowdown', '0'] }],
      entries: [{ id: 'entry-1', zone: 'valdivia', settings: { threads: { 'data-threads': '3' } } }],
      catalogue: [testVersion('guide-1'), testEngineService('asistente-tallado', ['guide-1']), testWorkspace(WORKSPACE, ['guide-1'])]
    })
  })

  after(async () => { await system.stop() })

  // Guards against a planned stop that interrupts the streams of one thread because another thread has finished its own.
  it('finishes the streams of all threads before a planned stop (guards against interrupted streams of one thread)', async () => {
    const client = new OpenAI({ baseURL: `http://${system.callersAddress('entry-1')}/v1`, apiKey: testCallerKey(WORKSPACE), maxRetries: 0 })
    const tokens = 150
    const readStream = async (): Promise<number> => {
      let count = 0
      const stream = await client.chat.completions.create({ model: 'guide', messages: [{ role: 'user', content: 'draft' }], max_tokens: tokens, stream: true })
      for await (const chunk of stream) count += chunk.choices[0]?.delta.content === undefined ? 0 : 1
      return count
    }
    const answers: Promise<number>[] = []
    const openByThread = async (): Promise<readonly number[]> => {
      const response = await fetch(`http://${system.callersAddress('entry-1')}/metrics`)
      return [...(await response.text()).matchAll(/^jayfall_open_requests\{.*\} (\d+)$/gm)].map(([, count]) => Number(count))
    }
    let open: readonly number[] = []
    while (open.filter(count => count > 1).length < 2) {
      assert.ok(answers.length < MAXIMUM_STREAMS, `all streams are in one thread: ${open.join(' ')}`)
      answers.push(...Array.from({ length: STREAMS_PER_BATCH }, readStream))
      open = await openByThread()
      while (open.reduce((sum, count) => sum + count, 0) < answers.length + 1) open = await openByThread()
    }
    const process = system.entryProcess('entry-1')
    assert.equal(await process.stop(), 0)
    assert.deepEqual(await Promise.all(answers), answers.map(() => tokens))
  })
})

describe('the bundled program', () => {
  // Guards against a bundle that the bundler built without the entry point of the data threads.
  it('starts and stops with data threads from the bundle (guards against a bundle without the entry point of the data threads)', async () => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'jayfall-bundle-'))
    const host = createTestAddress()
    const [callers, peers] = [await findFreePort(host), await findFreePort(host)]
    const example = fs.readFileSync('examples/entry.ini', 'utf8').replace('127.0.0.1:8080', `${host}:${callers}`).replace('127.0.0.1:8081', `${host}:${peers}`)
    const settings = path.join(directory, 'entry.ini')
    fs.writeFileSync(settings, `${example}\n[threads]\ndata-threads = 2\n[stop]\ndrain-notice = 10ms\n`)
    const child = spawn(process.execPath, ['dist/jayfall.cjs', 'entry', '--settings', settings], { stdio: ['ignore', 'pipe', 'inherit'] })
    try {
      let output = ''
      for await (const chunk of child.stdout) {
        output += String(chunk)
        if (output.includes('event=instance_started')) child.kill('SIGTERM')
      }
      if (child.exitCode === null) await once(child, 'exit')
      assert.equal(child.exitCode, 0, output)
      assert.match(output, /event=instance_stopped/)
    } finally {
      child.kill('SIGKILL')
      fs.rmSync(directory, { recursive: true })
    }
  })
})
