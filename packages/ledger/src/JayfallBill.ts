/** The record of what a workspace owes for one request. */

/** One bill. If several records share a key, the ledger counts the first one. */
export interface Bill {
  /** Identifies the billed request: `{workspace}/{request key}`. */
  readonly key: string
  readonly workspace: string
  /** The version that served a draft, or `{service}/{call}` of a call. */
  readonly source: string
  readonly promptTokens: number
  readonly outputTokens: number
  /** Price of the request, in the deployment's currency. */
  readonly amount: number
}
