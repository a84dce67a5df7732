/** Looks up the outcome of a request on the servers of a plain service over HTTP. */

import { type ReadonlyCatalogue, type ServerEntry } from '#jayfall/catalogue'
import { OutcomeLookup, type CallRow, type OutcomeAnswer } from '#jayfall/ledger'

import { type BackendClient } from './JayfallBackendClient'

const LOOKUP_TIMEOUT_MILLISECONDS = 2000

/** Sends `GET /outcomes/{requestId}` to each server of the service, because any of them may have executed the request. */
export class HttpOutcomeLookup extends OutcomeLookup {
  constructor (private readonly catalogue: ReadonlyCatalogue, private readonly backend: BackendClient) {
    super()
  }

  override async find (row: CallRow): Promise<OutcomeAnswer> {
    if (this.catalogue.revision === 0) return { kind: 'unreachable' }
    const call = this.catalogue.get('service', row.service)?.calls.find(({ name }) => name === row.call)
    if (call?.outcomeLookup !== true) return { kind: 'unsupported' }
    const servers = this.catalogue.all('server').filter(({ service }) => service === row.service)
    const answers = await Promise.all(servers.map(server => this.askServer(server, row.requestId)))
    return answers.find(({ kind }) => kind === 'known') ?? answers.find(({ kind }) => kind === 'unreachable') ?? { kind: 'not-known' }
  }

  private async askServer ({ address }: ServerEntry, requestId: string): Promise<OutcomeAnswer> {
    try {
      const response = await this.backend.send({ method: 'GET', address, path: `/outcomes/${encodeURIComponent(requestId)}`, headers: {}, headersTimeout: LOOKUP_TIMEOUT_MILLISECONDS })
      const body = await this.backend.read(response, LOOKUP_TIMEOUT_MILLISECONDS)
      if (response.statusCode === 404) return { kind: 'not-known' }
      if (response.statusCode !== 200) return { kind: 'unreachable' }
      const { outcome } = JSON.parse(body.toString()) as { readonly outcome: unknown }
      return { kind: 'known', outcome: { status: 200, contentType: 'application/json', body: JSON.stringify(outcome) } }
    } catch {
      return { kind: 'unreachable' }
    }
  }
}
