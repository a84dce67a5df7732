import assert from 'node:assert/strict'
import { once } from 'node:events'
import { spawn } from 'node:child_process'
import * as path from 'node:path'
import { after, before, describe, it } from 'node:test'

import { type VersionEntry } from '#jayfall/catalogue'
import { TestSystem, testEngineService, testVersion } from '#jayfall/testbed'

describe('the version and instance commands', () => {
  let system: TestSystem

  before(async () => {
    system = await TestSystem.start({
      servers: [],
      entries: [],
      catalogue: [
        testVersion('guide-1'),
        testVersion('guide-2', { state: 'rolling-out', trafficShare: 0 }),
        testVersion('guide-3', { state: 'rolling-out', trafficShare: 0 }),
        testEngineService('scribes', ['guide-1', 'guide-2'])
      ]
    })
  })

  after(async () => { await system.stop() })

  async function run (...commandArguments: string[]): Promise<{ status: number, output: string, errors: string }> {
    const script = path.resolve(__dirname, '../../main.js')
    const child = spawn(process.execPath, [script, ...commandArguments, '--platform', system.directAddress('platform')])
    let [output, errors] = ['', '']
    child.stdout.on('data', (chunk: Buffer) => { output += chunk.toString() })
    child.stderr.on('data', (chunk: Buffer) => { errors += chunk.toString() })
    const [status] = await once(child, 'close') as [number]
    return { status, output, errors }
  }

  async function readVersion (id: string): Promise<VersionEntry> {
    return (await system.withCatalogue(store => store.readEntry(`version/${id}`)))?.entry as VersionEntry
  }

  it('starts a roll-out at the first step and refuses a second start', async () => {
    const first = await run('version', 'roll-out', 'guide-2', '--json')
    assert.equal(first.status, 0, first.errors)
    assert.equal(JSON.parse(first.output).id, 'guide-2')
    const version = await readVersion('guide-2')
    assert.equal(Math.round(100 * version.trafficShare / (100 + version.trafficShare)), 1)
    assert.equal(version.whenCutOff, 'stop')
    const second = await run('version', 'roll-out', 'guide-2')
    assert.equal(second.status, 1)
    assert.match(second.errors, /version status/)
  })

  it('refuses a roll-out that no engine can serve, or of an unknown version (guards against versions without a server)', async () => {
    const notServed = await run('version', 'roll-out', 'guide-3')
    assert.equal(notServed.status, 1)
    assert.match(notServed.errors, /catalogue put/)
    assert.equal((await run('version', 'roll-out', 'guide-9')).status, 1)
  })

  it('makes cut-off instances stop at a hard withdrawal (guards against a withdrawal that cut-off instances ignore)', async () => {
    const { status, errors } = await run('version', 'withdraw', 'guide-1', '--hard', '--wait', '0')
    assert.equal(status, 0, errors)
    const { state, whenCutOff, trafficShare } = await readVersion('guide-1')
    assert.deepEqual({ state, whenCutOff, trafficShare }, { state: 'withdrawn', whenCutOff: 'stop', trafficShare: 0 })
  })

  it('marks an instance as leaving and removes the mark', async () => {
    assert.equal((await run('instance', 'leave', 'entry-1')).status, 0)
    const mark = () => system.withCatalogue(store => store.readEntry('instance-mark/entry-1'))
    assert.deepEqual((await mark())?.entry, { kind: 'instance-mark', id: 'entry-1', leaving: true })
    assert.equal((await run('instance', 'leave', 'entry-1', '--cancel')).status, 0)
    assert.deepEqual((await mark())?.entry, { kind: 'instance-mark', id: 'entry-1', leaving: false })
  })

  it('returns different exit statuses for an unreachable platform, wrong usage and help (guards against an exit status that hides a failure)', async () => {
    await system.changePlatform({ down: true })
    assert.equal((await run('version', 'withdraw', 'guide-2')).status, 4)
    await system.changePlatform({ down: false })
    assert.equal((await run('version', 'withdraw')).status, 2)
    assert.equal((await run('version', '--help')).status, 0)
  })
})
