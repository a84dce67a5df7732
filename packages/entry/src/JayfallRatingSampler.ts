/** Which answers a data thread offers for rating. */

import { NEW_VERSION_RATING_PART } from '#jayfall/rollout'

import { type DataContext } from './JayfallDataContext'
import { formatOfferedId, type CascadePlace } from './JayfallRatingOffer'

/** The part of all answers that is offered. */
const OFFERED_PART = 0.02

/** Offers a sample of the answers. */
export class RatingSampler {
  constructor (private readonly context: Omit<DataContext, 'ratings'>) {}

  /** Offers an answer with the probability that its version needs, times `boost`. */
  offer (requestId: string, versionId: string, boost = 1, place?: CascadePlace): void {
    const { control, random, clock, log } = this.context
    if (!random.chance(OFFERED_PART * boost * this.versionBoost(versionId))) return
    control.call('offer', { offeredId: formatOfferedId({ requestId, answeredAt: clock.wall(), place }), version: versionId })
      .catch((error: Error) => log.debug('rating_not_offered', { version: versionId, message: error.message }))
  }

  /** During a roll-out the new version gets a fixed part of its model's ratings, however little of the traffic it has. */
  private versionBoost (versionId: string): number {
    const { catalogue } = this.context
    const version = catalogue.get('version', versionId)
    const family = catalogue.all('version').filter(other => other.model === version?.model && other.trafficShare > 0)
    const total = family.reduce((sum, { trafficShare }) => sum + trafficShare, 0)
    const newTotal = family.filter(({ state }) => state === 'rolling-out').reduce((sum, { trafficShare }) => sum + trafficShare, 0)
    if (version === undefined || newTotal === 0 || newTotal === total) return 1
    return version.state === 'rolling-out' ? NEW_VERSION_RATING_PART * total / newTotal : (1 - NEW_VERSION_RATING_PART) * total / (total - newTotal)
  }
}
