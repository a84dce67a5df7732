import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import * as fastCheck from 'fast-check'

import { RandomSource } from '#jayfall/shared'

import { evaluatePolicy, mayEscalate, planCascade, policyOf, type KindModel, type KindPolicy, type StepModel } from '../../JayfallCascadePlan'
import { QualityEstimates } from '../../JayfallQualityEstimates'

const stepArbitrary = fastCheck.record({ cost: fastCheck.double({ min: 0.1, max: 10, noNaN: true }), qualities: fastCheck.array(fastCheck.double({ min: 0, max: 1, noNaN: true }), { minLength: 3, maxLength: 3 }) })

function createStep ({ cost, qualities }: { readonly cost: number, readonly qualities: readonly number[] }): StepModel {
  return { cost, sharedVariance: 0, signals: qualities.map(quality => ({ part: 1 / qualities.length, quality, variance: 0, commonDeviation: 0 })) }
}

function allPolicies (steps: number): readonly KindPolicy[] {
  const choices = Array.from({ length: 2 ** (3 * (steps - 1)) }, (_, bits) =>
    Array.from({ length: steps }, (_, index) => [0, 1, 2].map(signal => index === steps - 1 || (bits >> (3 * index + signal)) % 2 === 1)))
  return choices.flatMap(delivers => Array.from({ length: steps }, (_, firstStep) => ({ firstStep, delivers })))
}

describe('planCascade', () => {
  // Guards against a plan that misses the target, or that costs more than some policy that reaches it.
  it('reaches the target at no more cost than any policy that reaches it', () => {
    fastCheck.assert(fastCheck.property(fastCheck.array(stepArbitrary, { minLength: 3, maxLength: 3 }), fastCheck.double({ min: 0.1, max: 0.95, noNaN: true }), (steps, target) => {
      const kind: KindModel = { kind: 'one', part: 1, steps: steps.map(createStep) }
      const { expected } = planCascade([kind], target)
      const outcomesAtTarget = allPolicies(3).map(policy => evaluatePolicy(kind.steps, policy)).filter(({ quality }) => quality >= target)
      if (outcomesAtTarget.length === 0) return
      assert.ok(expected.quality >= target - 1e-6)
      assert.ok(expected.cost <= Math.min(...outcomesAtTarget.map(({ cost }) => cost)) * (1 + 1e-4) + 1e-6)
    }), { numRuns: 60, seed: 1 })
  })

  it('gives one request the same policy at all of its steps', () => {
    const kind: KindModel = { kind: 'one', part: 1, steps: [createStep({ cost: 1, qualities: [0.2, 0.5, 0.9] }), createStep({ cost: 10, qualities: [0.9, 0.9, 0.9] })] }
    const plan = planCascade([kind], 0.8)
    assert.equal(policyOf(plan, 'one', 0), policyOf(plan, 'one', plan.costlierFraction / 2))
    assert.equal(policyOf(plan, 'other', 0), undefined)
  })
})

describe('mayEscalate', () => {
  // Guards against an answer that comes too late or costs too much.
  it('allows no escalation past the deadline or the budget', () => {
    const limits = { timeLeft: 1000, nextDuration: 500, spent: 1, nextCost: 5, highestStepCost: 5 }
    assert.equal(mayEscalate(limits), true)
    assert.equal(mayEscalate({ ...limits, timeLeft: 400 }), false)
    assert.equal(mayEscalate({ ...limits, spent: 3 }), false)
  })
})

describe('QualityEstimates', () => {
  // Guards against estimates that stay alike for kinds of different quality.
  it('distinguishes kinds by few ratings and many signals', () => {
    const random = new RandomSource(1)
    const estimates = new QualityEstimates()
    const addRandomAnswer = (kind: string, quality: number, ratedFraction: number): void => {
      const isGood = random.chance(quality)
      const signal = random.chance(0.7) === isGood ? 'strong' as const : 'weak' as const
      estimates.addRequest(kind)
      estimates.addAnswer(kind, 0, signal)
      if (random.chance(ratedFraction)) estimates.addRating(kind, 0, signal, isGood ? 1 : 0)
    }
    for (let index = 0; index < 5000; index++) {
      addRandomAnswer('easy', 0.95, 0.01)
      addRandomAnswer('hard', 0.3, 0.01)
    }
    const [easy, hard] = estimates.models([{ quality: 0.7, cost: () => 1 }]).map(({ steps }) => evaluatePolicy(steps, { firstStep: 0, delivers: [[true, true, true]] }).quality)
    assert.ok(easy > 0.85, String(easy))
    assert.ok(hard < 0.45, String(hard))
  })

  // Guards against a copy that loses ratings.
  it('keeps all ratings in a copy through JSON', () => {
    const estimates = new QualityEstimates()
    estimates.addRating('one', 2, 'strong', 1)
    const copy = new QualityEstimates(JSON.parse(JSON.stringify(estimates.snapshot())))
    assert.deepEqual(copy.snapshot(), estimates.snapshot())
  })
})
