/** Tests of how far load reports get, without a network, and of what follows from equal, old and missing ones. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { hashName, RandomSource } from '#jayfall/shared'

import { equalCostDraw, LoadReports, silenceOf, type LoadReport } from '../../JayfallLoadReports'

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

describe('equalCostDraw', () => {
  const servers = Array.from({ length: 60 }, (_, index) => hashName(`s${index}`))

  it('spreads requests over equally good servers (guards against all instances choosing the server that was least loaded at the last report)', () => {
    const counts = new Map<number, number>()
    for (let request = 0; request < 6000; request++) {
      const costs = servers.map(hash => equalCostDraw(hashName(`r${request}`), hash))
      const chosen = costs.indexOf(Math.min(...costs))
      counts.set(chosen, (counts.get(chosen) ?? 0) + 1)
    }
    assert.equal(counts.size, servers.length)
    assert.ok(Math.max(...counts.values()) <= 1.6 * 6000 / servers.length)
  })
})

describe('silenceOf', () => {
  it('finds a server that has not answered anybody for much longer than the others (guards against servers that look idle because a long prompt holds them up)', () => {
    assert.equal(silenceOf(400, 150), 0)
    assert.equal(silenceOf(2500, 150), 2000)
  })

  it('takes no server for silent where all reports are old', () => {
    assert.equal(silenceOf(2500, 1000), 0)
  })
})
