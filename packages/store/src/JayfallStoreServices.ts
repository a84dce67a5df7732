/** The platform's smaller services: the list of instances, the weight store and the answer ratings. */

import { PlatformError } from './JayfallStoreError'
import { type PlatformHttp } from './JayfallStoreHttp'

/** An instance as the platform's lagging list shows it. */
export interface ListedInstance {
  readonly id: string
  readonly role: 'entry' | 'backend'
  readonly zone: string
  /** IP address and port; for entry instances, of the listener for other entry instances. */
  readonly address: string
  readonly state: 'live' | 'leaving'
}

/** A rating of one answer; ratings come late and for few answers. */
export interface AnswerRating {
  readonly requestId: string
  readonly version: string
  /** 0 (bad) to 1 (good). */
  readonly score: number
}

export interface RatingPage {
  readonly ratings: readonly AnswerRating[]
  /** Cursor for the next page. */
  readonly next: number
}

/** Clients of the smaller services. */
export class PlatformServices {
  constructor (private readonly http: PlatformHttp) {}

  async listInstances (): Promise<readonly ListedInstance[]> {
    const { body } = await this.http.call('GET', '/instances')
    return (body as { instances: readonly ListedInstance[] }).instances
  }

  /** Announces this entry instance; the platform forgets it some time after the last call. */
  async announceInstance (instance: ListedInstance): Promise<void> {
    await this.http.call('PUT', `/instances/${encodeURIComponent(instance.id)}`, instance)
  }

  /** Sets a server's traffic weight. @throws PlatformError `rate_limited` above the store's rate. */
  async putWeight (server: string, weight: number): Promise<void> {
    const { status } = await this.http.call('PUT', `/weights/${encodeURIComponent(server)}`, { weight })
    if (status !== 200) throw new PlatformError('malformed', `the weight store answered with status ${status}`)
  }

  /** Offers an answer for rating. */
  async requestRating (requestId: string, version: string): Promise<void> {
    await this.http.call('POST', '/ratings/requests', { requestId, version })
  }

  async readRatings (after: number): Promise<RatingPage> {
    const { body } = await this.http.call('GET', `/ratings?after=${after}`)
    return body as RatingPage
  }
}
