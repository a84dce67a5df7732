/** Decodes the rows of a deployment's store into the types of this package. */

import { type TablePosition } from '#jayfall/store'

import { type BackendServer, type ForwardingCatalogue, type RolloutOrder } from './JayfallForwardingCatalogue'
import { type RolloutOutcome } from './JayfallRolloutSchedule'

export type OperatorRow =
  | { readonly kind: 'catalogue', readonly catalogue: ForwardingCatalogue }
  | { readonly kind: 'rollout', readonly order: RolloutOrder }
  /** Nothing may be sent to the servers of the zone as long as the row exists. */
  | { readonly kind: 'evacuation', readonly zone: string }
  /** The row holds nothing that this instance uses; `reason` is set when the row is invalid. */
  | { readonly kind: 'ignored', readonly reason?: string }

/** The tables of a deployment's store, and the format of their rows. */
export abstract class DeploymentSource {
  abstract readonly operatorTable: string
  abstract readonly serverTable: string
  abstract readOperatorRow (key: string, value: unknown, position: TablePosition): OperatorRow
  /** Returns undefined when the row describes no usable server. */
  abstract readServerRow (key: string, value: unknown): BackendServer | undefined
  /** Creates the write that reports the state of a rollout to operators. */
  abstract createStatusWrite (order: RolloutOrder, outcome: RolloutOutcome): { readonly table: string, readonly key: string, readonly value: unknown }
}
