/** Tests of when a prompt without a first event is sent to another server. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { RandomSource } from '#jayfall/shared'

import { isWorthMoving, moveCheckWaits } from '../../JayfallHeldUpPrompts'

const OBJECTIVE = 1000
const SHORT = { timeToFirstEvent: 60, prefillTime: 5 }

function checkTimes (estimate = SHORT): readonly number[] {
  let elapsed = 0
  return [...moveCheckWaits(OBJECTIVE, estimate)].map(wait => Math.round(elapsed += wait))
}

describe('a prompt without a first event', () => {
  it('is checked while another server can still answer within the objective', () => {
    assert.deepEqual(checkTimes(), [300, 400, 500, 600, 700, 800])
  })

  it('is not checked before its wait is unexpected (guards against moves between servers that are all as busy)', () => {
    assert.equal(checkTimes({ ...SHORT, timeToFirstEvent: 200 })[0], 600)
    assert.deepEqual(checkTimes({ ...SHORT, timeToFirstEvent: 300 }), [])
  })

  it('stays where it is when it is long (guards against long prompts that hold up two servers)', () => {
    assert.deepEqual(checkTimes({ ...SHORT, prefillTime: 150 }), [])
  })

  it('is moved only to a server that is expected to answer in time', () => {
    assert.deepEqual([isWorthMoving(500, SHORT), isWorthMoving(100, SHORT), isWorthMoving(-100, SHORT)], [true, false, false])
  })

  // Load: one in twelve engines reads a very long prompt, which no report shows yet.
  it('is late several times less often when it may be moved (guards against short prompts that wait for a held up engine until they are late)', () => {
    const random = new RandomSource(1)
    const timeToFirstEvent = (): number => random.chance(1 / 12) ? 800 + random.uniform() * 2000 : 30 + random.exponential(60)
    let [late, lateWithMoves] = [0, 0]
    for (let count = 0; count < 10_000; count++) {
      const first = timeToFirstEvent()
      late += Number(first > OBJECTIVE)
      const movedAt = checkTimes().find(time => time < first && isWorthMoving(OBJECTIVE - time, SHORT))
      lateWithMoves += Number((movedAt === undefined ? first : movedAt + timeToFirstEvent()) > OBJECTIVE)
    }
    assert.ok(late > 500 && lateWithMoves < late / 5, `${late} and ${lateWithMoves} of 10,000`)
  })
})
