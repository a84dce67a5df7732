/** Tests of how far load reports get and what they cost, without a network, and of the draw of servers between two reports. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { hashName, RandomSource } from '#jayfall/shared'

import { drawCandidates } from '../../JayfallCandidateDraw'
import { LoadReports, type LoadReport } from '../../JayfallLoadReports'

const TICK_MILLISECONDS = 100
const MESSAGES_PER_TICK = 2
const LOSS = 0.05

function reportOf (server: string, measuredAt: number): LoadReport {
  return { server, running: 1, waiting: 0, slots: 24, slowness: 1, measuredAt }
}

describe('LoadReports', () => {
  it('keep the newest report of a server, and pass on none that is too old to help', () => {
    const reports = new LoadReports()
    assert.ok(reports.record(reportOf('s1', 1000)))
    assert.equal(reports.record(reportOf('s1', 900)), false)
    assert.deepEqual(reports.takeNewest(1500).map(({ measuredAt }) => measuredAt), [1000])
    assert.deepEqual(reports.takeNewest(2001), [])
  })

  // The age that a message names lacks its time on the way, so a report looks a little newer at each instance.
  it('do not take a report that comes back for a newer one (guards against forgetting what was sent since it was measured)', () => {
    const reports = new LoadReports()
    reports.record(reportOf('s1', 1000))
    assert.equal(reports.record(reportOf('s1', 1004)), false)
    reports.takeNewest(2001)
    assert.equal(reports.record(reportOf('s1', 1004)), false)
    assert.equal(reports.record({ ...reportOf('s1', 1004), running: 2 }), true)
    assert.equal(reports.record({ ...reportOf('s1', 1200), running: 2 }), true)
  })

  it('let an instance know the load of most servers of half a second ago (guards against servers that are chosen blindly)', () => {
    const [instances, servers, requestsPerSecond] = [73, 63, 350]
    const random = new RandomSource(1)
    const fleet = Array.from({ length: instances }, () => ({ reports: new LoadReports(), known: new Map<string, number>() }))
    const hear = (index: number, report: LoadReport): void => {
      if (fleet[index].reports.record(report)) fleet[index].known.set(report.server, report.measuredAt)
    }
    for (let now = 0; now < 5000; now += TICK_MILLISECONDS) {
      for (let request = 0; request < requestsPerSecond * TICK_MILLISECONDS / 1000; request++) hear(random.integer(0, instances - 1), reportOf(`s${random.integer(0, servers - 1)}`, now + random.uniform() * TICK_MILLISECONDS))
      for (const { reports } of fleet) {
        const newest = reports.takeNewest(now + TICK_MILLISECONDS)
        for (let message = 0; message < MESSAGES_PER_TICK; message++) if (!random.chance(LOSS)) for (const report of newest) hear(random.integer(0, instances - 1), report)
      }
    }
    const ages = fleet.flatMap(({ known }) => Array.from({ length: servers }, (_, index) => 5000 - (known.get(`s${index}`) ?? -Infinity))).sort((left, right) => left - right)
    assert.ok(ages[Math.floor(ages.length / 2)] <= 500, `${ages[Math.floor(ages.length / 2)]} ms at the median`)
  })
})

describe('drawCandidates', () => {
  const servers = Array.from({ length: 60 }, (_, index) => ({ id: `s${index}`, affinityHash: hashName(`s${index}`) }))

  it('draws a few servers for a request, the same ones each time, and keeps those that have its prompt', () => {
    const draw = (): readonly string[] => [...drawCandidates(servers, 7, ({ id }) => id === 's5')].map(({ id }) => id)
    assert.equal(draw().length, 4)
    assert.ok(draw().includes('s5'))
    assert.deepEqual(draw(), draw())
  })

  it('spreads requests evenly (guards against all instances choosing the server that was least loaded at the last report)', () => {
    const counts = new Map<string, number>()
    for (let request = 0; request < 6000; request++) for (const { id } of drawCandidates(servers, hashName(`r${request}`), () => false)) counts.set(id, (counts.get(id) ?? 0) + 1)
    assert.equal(counts.size, servers.length)
    assert.ok(Math.max(...counts.values()) <= 1.3 * 6000 * 3 / servers.length)
  })
})
