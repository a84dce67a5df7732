/** Bills: what a workspace owes for one request. */

/** One bill. The ledger holds the first record of each key. */
export interface Bill {
  /** `{workspace}/{request key}`. */
  readonly key: string
  readonly workspace: string
  /** The version or service that did the work. */
  readonly source: string
  readonly promptTokens: number
  readonly outputTokens: number
  /** In the deployment's currency. */
  readonly amount: number
}
