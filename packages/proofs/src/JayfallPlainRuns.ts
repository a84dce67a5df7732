/** What the plain services recorded, by the idempotency key in the calls' bodies. */

import { type TestSystem } from '#jayfall/testbed'

/** One request that a plain service ran. */
export interface PlainRun {
  readonly requestId: string
  readonly key: string
  /** Times that the service ran it. */
  readonly runs: number
  /** The service's answer. */
  readonly outcome: unknown
}

/** Reads all runs of the call `enrol` from the services' own records. Bodies must have the field `key`. */
export async function readPlainRuns (system: TestSystem, servers: readonly string[]): Promise<readonly PlainRun[]> {
  const found: PlainRun[] = []
  for (const server of servers) {
    const runs = await system.readStandIn<Record<string, number>>(server, '/runs')
    for (const [requestId, count] of Object.entries(runs)) {
      const { call, body, outcome } = await system.readStandIn<{ call: string, body: { key: string }, outcome: unknown }>(server, `/outcomes/${encodeURIComponent(requestId)}`)
      if (call === 'enrol') found.push({ requestId, key: body.key, runs: count, outcome })
    }
  }
  return found
}

/** All rows of a table of the platform, past the proxy. */
export async function readTable<Value> (system: TestSystem, table: string): Promise<ReadonlyMap<string, Value>> {
  const rows = new Map<string, Value>()
  for (let after = ''; ;) {
    const page = await system.readStandIn<{ rows: readonly { key: string, value: Value }[] }>('platform', `/tables/${table}?prefix=&after=${encodeURIComponent(after)}`)
    if (page.rows.length === 0) return rows
    for (const { key, value } of page.rows) rows.set(key, value)
    after = page.rows[page.rows.length - 1].key
  }
}
