/** Sampling of the responses that a data thread offers for rating. */

import { NEW_VERSION_RATING_PART } from '#jayfall/rollout'

import { type DataContext } from './JayfallDataContext'
import { formatOfferedId, type CascadePosition } from './JayfallOfferedResponse'

/** Fraction of all responses that is offered for rating. */
const OFFERED_FRACTION = 0.02

/** Offers a random sample of the responses. */
export class RatingSampler {
  constructor (private readonly context: Omit<DataContext, 'ratings'>) {}

  /** Offers a response with the sampling probability of its version, multiplied by `boost`. */
  offer (requestId: string, versionId: string, boost = 1, place?: CascadePosition): void {
    const { control, random, clock, log } = this.context
    if (!random.chance(OFFERED_FRACTION * boost * this.versionBoost(versionId))) return
    control.call('offer', { offeredId: formatOfferedId({ requestId, answeredAt: clock.wall(), place }), version: versionId })
      .catch((error: Error) => log.debug('rating_not_offered', { version: versionId, message: error.message }))
  }

  /** Factor on the sampling probability. During a rollout, the new version gets a fixed fraction of the ratings of its model, independent of its share of the traffic. */
  private versionBoost (versionId: string): number {
    const { catalogue } = this.context
    const version = catalogue.get('version', versionId)
    const versionsOfModel = catalogue.all('version').filter(other => other.model === version?.model && other.trafficShare > 0)
    const totalShare = versionsOfModel.reduce((sum, { trafficShare }) => sum + trafficShare, 0)
    const newVersionsShare = versionsOfModel.filter(({ state }) => state === 'rolling-out').reduce((sum, { trafficShare }) => sum + trafficShare, 0)
    if (version === undefined || newVersionsShare === 0 || newVersionsShare === totalShare) return 1
    return version.state === 'rolling-out' ? NEW_VERSION_RATING_PART * totalShare / newVersionsShare : (1 - NEW_VERSION_RATING_PART) * totalShare / (totalShare - newVersionsShare)
  }
}
