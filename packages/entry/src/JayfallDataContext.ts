/** The context that all request handlers of one data thread share. */

import { findVersionRefusal, type InstalledCatalogue, type VersionRefusal } from '#jayfall/catalogue'
import { CONFIRMATION_LIMIT_MILLISECONDS } from '#jayfall/control'
import { type Clock, type RandomSource } from '#jayfall/shared'
import { type Log, type Metrics, type Traces } from '#jayfall/telemetry'

import { type BackendClient } from './JayfallBackendClient'
import { type CascadePlanner } from './JayfallCascadePlanner'
import { type ControlClient } from './JayfallControlCalls'
import { type DataParts } from './JayfallDataParts'
import { type RatingSampler } from './JayfallRatingSampler'
import { type RequestDispatcher } from './JayfallRequestDispatcher'
import { type TokenSealer } from './JayfallTokenSealer'

/** Components and state of one data thread. */
export interface DataContext {
  readonly catalogue: InstalledCatalogue
  readonly requests: RequestDispatcher
  readonly backend: BackendClient
  readonly control: ControlClient
  readonly cascades: CascadePlanner
  readonly ratings: RatingSampler
  readonly tokenSealer: TokenSealer
  readonly components: DataParts
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  readonly metrics: Metrics
  readonly traces: Traces
  /** SHA-256 hashes of the operators' keys, in hexadecimal. */
  operatorHashes (): readonly string[]
  readonly instanceId: string
  /** Milliseconds within which a plain call must be answered and a model request must receive its first event. */
  readonly requestDeadline: number
  /** Milliseconds after which a caller that does not read its response is disconnected. */
  readonly idleStreamTimeout: number
  /** Monotonic milliseconds at which the catalogue was last confirmed as current; see `DispatchConditions`. */
  confirmedAt (): number
  /** Whether new billable work must be refused because no memory for bills is available. */
  isBacklogFull (): boolean
}

/** Returns why new work on a version may not start now; undefined when it may. */
export function findCurrentRefusal (context: DataContext, workspace: string, version: string): VersionRefusal | undefined {
  return findVersionRefusal(context.catalogue, workspace, version, {
    confirmationAge: context.clock.monotonic() - context.confirmedAt(),
    confirmationLimit: CONFIRMATION_LIMIT_MILLISECONDS
  })
}
