/** The rows of a deployment's store, decoded into the product's types. */

import { type BackendServer, type ForwardingCatalogue, type RolloutOrder } from './JayfallForwardingCatalogue'
import { type RolloutOutcome } from './JayfallRolloutPlan'

export type OperatorRow =
  | { readonly kind: 'catalogue', readonly catalogue: ForwardingCatalogue }
  | { readonly kind: 'rollout', readonly order: RolloutOrder }
  /** The row says nothing that this instance uses; `reason` is set when it should have. */
  | { readonly kind: 'ignored', readonly reason?: string }

/** Where the rows are, and what they say. */
export abstract class DeploymentSource {
  abstract readonly operatorTable: string
  abstract readonly serverTable: string
  abstract readOperatorRow (key: string, value: unknown, revision: number): OperatorRow
  /** undefined when the row names no server to use. */
  abstract readServerRow (key: string, value: unknown): BackendServer | undefined
  /** The write that tells operators how a rollout stands. */
  abstract createStatusWrite (order: RolloutOrder, outcome: RolloutOutcome): { readonly table: string, readonly key: string, readonly value: unknown }
}
