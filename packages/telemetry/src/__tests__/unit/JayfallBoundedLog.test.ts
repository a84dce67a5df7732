/** Tests of the log with a bounded buffer, which never waits for its reader. */

import * as assert from 'node:assert/strict'
import { execFileSync } from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import { describe, it } from 'node:test'

import { createBoundedLog } from '../../JayfallBoundedLog'
import { LOG_BUFFER_BYTES } from '../../JayfallTelemetryConstants'

describe('createBoundedLog', () => {
  it('writes one JSON line for each event', async () => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'jayfall-log-'))
    const file = path.join(folder, 'log')
    const descriptor = fs.openSync(file, 'w')
    const log = createBoundedLog({ instance: 'entry-1' }, descriptor)
    log.info('request_ended', { request: 'r1' })
    await new Promise<void>(resolve => log.close(resolve))
    const line = JSON.parse(fs.readFileSync(file, 'utf8')) as Record<string, unknown>
    assert.deepEqual([line.event, line.request, line.instance], ['request_ended', 'r1', 'entry-1'])
    fs.rmSync(folder, { recursive: true })
  })

  // Guards against requests that are delayed because a full pipe blocks the writes of the log.
  it('does not wait for a reader that has stopped (guards against requests delayed by their log)', () => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'jayfall-log-'))
    const pipe = path.join(folder, 'pipe')
    execFileSync('mkfifo', [pipe])
    // The pipe is opened for reading and writing, so that nobody reads from it and the write end is not closed.
    const descriptor = fs.openSync(pipe, fs.constants.O_RDWR | fs.constants.O_NONBLOCK)
    const log = createBoundedLog({ instance: 'entry-1' }, descriptor)
    const text = 'x'.repeat(1000)
    const startedAt = performance.now()
    for (let written = 0; written < LOG_BUFFER_BYTES * 4; written += text.length) log.info('filler', { text })
    assert.ok(performance.now() - startedAt < 2000)
    log.discard()
    fs.rmSync(folder, { recursive: true })
  })
})
