/** Clients of the platform's list of instances, its weight store and its answer ratings. */

import { PlatformError } from './JayfallPlatformError'
import { type PlatformHttp } from './JayfallPlatformHttp'

/** An instance in the platform's list, which is updated with a delay. */
export interface ListedInstance {
  readonly id: string
  readonly role: 'entry' | 'backend'
  readonly zone: string
  /** IP address and port; for an entry instance, those of its listener for other entry instances. */
  readonly address: string
  readonly state: 'live' | 'leaving'
}

/** The rating of one answer. Ratings arrive late and only for few answers. */
export interface AnswerRating {
  readonly requestId: string
  readonly version: string
  /** The score between 0 (bad) and 1 (good). */
  readonly score: number
}

/** One page of ratings. */
export interface RatingPage {
  readonly ratings: readonly AnswerRating[]
  /** Cursor of the next page. */
  readonly next: number
}

/** Calls the three services over HTTP. */
export class PlatformServices {
  constructor (private readonly http: PlatformHttp) {}

  async listInstances (): Promise<readonly ListedInstance[]> {
    const { body } = await this.http.call('GET', '/instances')
    return (body as { instances: readonly ListedInstance[] }).instances
  }

  /** Announces this entry instance. The platform removes it from its list some time after the last announcement. */
  async announceInstance (instance: ListedInstance): Promise<void> {
    await this.http.call('PUT', `/instances/${encodeURIComponent(instance.id)}`, instance)
  }

  /**
   * Sets the traffic weight of a backend server.
   * @throws PlatformError `rate_limited` when the rate limit of the weight store is exceeded.
   */
  async putWeight (server: string, weight: number): Promise<void> {
    const { status } = await this.http.call('PUT', `/weights/${encodeURIComponent(server)}`, { weight })
    if (status !== 200) throw new PlatformError('malformed', `the weight store answered with status ${status}`)
  }

  /** Requests a rating of an answer. */
  async requestRating (requestId: string, version: string): Promise<void> {
    await this.http.call('POST', '/ratings/requests', { requestId, version })
  }

  async readRatings (after: number): Promise<RatingPage> {
    const { body } = await this.http.call('GET', `/ratings?after=${after}`)
    return body as RatingPage
  }
}
