/** What the handlers of one data thread share. */

import { findVersionRefusal, type InstalledCatalogue, type VersionRefusal } from '#jayfall/catalogue'
import { CONFIRMATION_LIMIT_MILLISECONDS } from '#jayfall/control'
import { type Clock, type RandomSource } from '#jayfall/shared'
import { type Log, type Metrics, type Traces } from '#jayfall/telemetry'

import { type BackendClient } from './JayfallBackendClient'
import { type CascadeBook } from './JayfallCascadeBook'
import { type ControlCaller } from './JayfallControlCalls'
import { type DataParts } from './JayfallDataParts'
import { type RatingSampler } from './JayfallRatingSampler'
import { type RequestBook } from './JayfallRequestBook'
import { type TokenSeal } from './JayfallTokenSeal'

export interface DataContext {
  readonly catalogue: InstalledCatalogue
  readonly book: RequestBook
  readonly backend: BackendClient
  readonly control: ControlCaller
  readonly cascades: CascadeBook
  readonly ratings: RatingSampler
  readonly seal: TokenSeal
  readonly parts: DataParts
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  readonly metrics: Metrics
  readonly traces: Traces
  /** SHA-256 hashes of the operators' keys. */
  operatorHashes (): readonly string[]
  readonly instanceId: string
  /** Milliseconds that a caller's request may take. */
  readonly requestDeadline: number
  /** Milliseconds after which a caller that reads nothing is disconnected. */
  readonly idleStreamTimeout: number
  /** Monotonic milliseconds; see `DispatchConditions`. */
  confirmedAt (): number
  /** Whether new billable work must be refused, as no memory is left for bills. */
  isBacklogFull (): boolean
}

/** Whether new work on a version may start now, or why not. */
export function refusalNow (context: DataContext, workspace: string, version: string): VersionRefusal | undefined {
  return findVersionRefusal(context.catalogue, workspace, version, {
    confirmationAge: context.clock.monotonic() - context.confirmedAt(),
    confirmationLimit: CONFIRMATION_LIMIT_MILLISECONDS
  })
}
