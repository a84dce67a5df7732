/** The ledger of one instance: claims of calls, their recovery, and bills. */

import { type ReadonlyCatalogue } from '#jayfall/catalogue'
import { BillBatches, CallClaims, CallRecovery, RowCommitter, SharedRecoveryRight, StoreGate } from '#jayfall/ledger'
import { HttpObjectStore, HttpTableStore, PlatformHttp } from '#jayfall/platform'
import { createRandomSource, delay, SystemClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { BackendClient } from './JayfallBackendClient'
import { type CallHandlers } from './JayfallControlCalls'
import { HttpOutcomeLookup } from './JayfallHttpOutcomeLookup'

const RETRY_INTERVAL_MILLISECONDS = 100
const RECOVERY_INTERVAL_MILLISECONDS = 5000
/** A stopping instance waits this long for outcomes that the store does not take. */
const FLUSH_LIMIT_MILLISECONDS = 5000
const FLUSH_POLL_MILLISECONDS = 50

export interface InstanceLedgerSettings {
  readonly instanceId: string
  /** IP address that connections are made from. */
  readonly localAddress: string
  readonly platformAddress: string
  readonly platformTimeout: number
  /** Milliseconds between writes of bills. */
  readonly batchInterval: number
}

/** Wires the ledger to the platform and the backend servers. */
export class InstanceLedger {
  readonly handlers: CallHandlers
  private readonly clock = new SystemClock()
  private readonly http: PlatformHttp
  private readonly backend: BackendClient
  private readonly claims: CallClaims
  private readonly recovery: CallRecovery
  private readonly bills: BillBatches
  private timers: readonly NodeJS.Timeout[] = []

  constructor (private readonly settings: InstanceLedgerSettings, catalogue: ReadonlyCatalogue, private readonly log: Log) {
    const { platformAddress: address, platformTimeout: timeout, localAddress } = settings
    const random = createRandomSource()
    // The ledger has connections of its own, so that slow readers of the catalogue do not delay claims.
    this.http = new PlatformHttp({ address, timeout, localAddress })
    this.backend = new BackendClient(this.clock, { onLoad: () => {}, onLeaving: () => {} }, localAddress)
    const gate = new StoreGate(new HttpTableStore(this.http), this.clock, random)
    const committer = new RowCommitter(gate)
    this.claims = new CallClaims(gate, committer, this.clock, random)
    this.recovery = new CallRecovery(gate, committer, new HttpOutcomeLookup(catalogue, this.backend), new SharedRecoveryRight(), this.clock)
    this.bills = new BillBatches(new HttpObjectStore(this.http), settings.instanceId)
    this.handlers = {
      claim: argument => this.claims.claim(argument),
      complete: ({ claim, revision, outcome }) => this.claims.complete(claim, revision, outcome),
      withdraw: async ({ claim, revision }) => { await this.claims.withdraw(claim, revision) },
      find: ({ workspace, key }) => this.claims.find(workspace, key),
      bill: async bill => { this.bills.record(bill) }
    }
  }

  start (): void {
    this.timers = [
      this.every(RETRY_INTERVAL_MILLISECONDS, () => this.claims.retryPending()),
      this.every(RECOVERY_INTERVAL_MILLISECONDS, () => this.recover()),
      this.every(this.settings.batchInterval, () => this.bills.flush())
    ]
  }

  /** Writes what waits for the store, as far as the store takes it in time. */
  async stop (): Promise<void> {
    await this.bills.flush().catch((error: Error) => this.log.error('bills_not_written', { message: error.message }))
    for (let waited = 0; this.claims.pendingRows > 0 && waited < FLUSH_LIMIT_MILLISECONDS; waited += FLUSH_POLL_MILLISECONDS) {
      await delay(FLUSH_POLL_MILLISECONDS)
    }
    for (const timer of this.timers) clearInterval(timer)
    if (this.claims.pendingRows > 0) this.log.error('outcomes_not_written', { rows: this.claims.pendingRows })
    this.http.close()
    this.backend.close()
  }

  private async recover (): Promise<void> {
    for (const { requestId, workspace, service, state } of await this.recovery.run()) {
      this.log.warn('call_recovered', { request: requestId, workspace, service, state })
    }
  }

  private every (interval: number, work: () => Promise<void>): NodeJS.Timeout {
    return setInterval(() => { work().catch((error: Error) => this.log.warn('ledger_work_failed', { message: error.message })) }, interval)
  }
}
