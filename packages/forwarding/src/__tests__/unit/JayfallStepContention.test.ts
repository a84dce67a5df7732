/** Tests of how many instances attempt a step that all of them see as due. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { createRandomSource } from '#jayfall/shared'

import { StepContention } from '../../JayfallStepContention'

/** The number of attempts in each interval until the step is made, which the first attempt does. */
function attemptsUntilMade (instances: number, knownInstances: number, seed: number): readonly number[] {
  const contenders = Array.from({ length: instances }, (_, index) => new StepContention(() => knownInstances, createRandomSource(seed * 1000 + index)))
  const attempts: number[] = []
  do attempts.push(contenders.filter(contender => contender.isChosen('step')).length)
  while (attempts.at(-1) === 0)
  return attempts
}

describe('StepContention', () => {
  // All 195 instances of a deployment wrote each step of a rollout at the same time, and all but one read the row again.
  it('lets few instances make a step, however many there are (guards against calls of the store that grow with instances)', () => {
    for (const instances of [3, 9, 69, 195, 890]) {
      const attempts = Array.from({ length: 40 }, (_, seed) => attemptsUntilMade(instances, instances, seed).at(-1) ?? 0)
      assert.ok(attempts.reduce((sum, count) => sum + count, 0) / attempts.length < 6, `${instances} instances: ${attempts.join(' ')}`)
    }
  })

  it('makes a step within few intervals, even when most of the known instances are gone (guards against steps that nobody makes)', () => {
    for (let seed = 0; seed < 40; seed++) {
      assert.ok(attemptsUntilMade(195, 195, seed).length <= 4)
      assert.ok(attemptsUntilMade(2, 195, seed).length <= 8)
    }
  })

  it('begins anew after a step was made', () => {
    const contention = new StepContention(() => 1e9, createRandomSource(1))
    for (let interval = 0; interval < 40; interval++) contention.isChosen('step')
    contention.forget('step')
    assert.equal(contention.isChosen('step'), false)
  })
})
