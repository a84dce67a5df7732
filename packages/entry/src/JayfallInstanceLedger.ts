/**
 * The ledger of one instance: claims, which ensure that a call that may not be repeated is sent once, the recovery of
 * calls without a recorded outcome, bills, and the copies of other instances' bills that this instance keeps as a witness.
 */

import { type ReadonlyCatalogue } from '#jayfall/catalogue'
import { BillBatches, BillMemory, BillWitness, CallClaims, CallRecovery, createLedgerRouter, PeerWitnessClient, REPLICATION_INTERVAL_MILLISECONDS, RowCommitter, StoreGate, type LedgerRouter, type RecoveryRight } from '#jayfall/ledger'
import { type PeerDirectory } from '#jayfall/peers'
import { HttpObjectStore, HttpTableStore, PlatformHttp } from '#jayfall/store'
import { createRandomSource, delay, SystemClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { BackendClient } from './JayfallBackendClient'
import { type CallHandlers } from './JayfallControlCalls'
import { HttpOutcomeLookup } from './JayfallHttpOutcomeLookup'
import { AnySourceLeavingPolicy } from './JayfallLeavingPolicy'

/** Interval at which outcomes that the store has not accepted are written again. */
const RETRY_INTERVAL_MILLISECONDS = 100
const WITNESS_TICK_INTERVAL_MILLISECONDS = 250
const RECOVERY_INTERVAL_MILLISECONDS = 5000
/** Time that a stopping instance tries to write outcomes and bills that the store does not accept. */
const FLUSH_TIMEOUT_MILLISECONDS = 5000
const FLUSH_POLL_MILLISECONDS = 250

/** Settings of the ledger. */
export interface InstanceLedgerSettings {
  readonly instanceId: string
  /** IP address that connections are made from. */
  readonly localAddress: string
  readonly platformAddress: string
  /** Milliseconds that a request to the platform may take. */
  readonly platformTimeout: number
  /** Milliseconds between two writes of bills to the store. */
  readonly batchInterval: number
  /** Bytes of unstored bills above which no new billable work is accepted. */
  readonly billMemory: number
  /** Wall-clock milliseconds of the start of this process. */
  readonly incarnation: number
}

/** Connects the ledger to the platform and to the backend servers, and runs its periodic tasks. */
export class InstanceLedger {
  readonly handlers: Omit<CallHandlers, 'offer' | 'collect'>
  private readonly clock = new SystemClock()
  private readonly http: PlatformHttp
  private readonly backend: BackendClient
  private readonly claims: CallClaims
  private readonly recovery: CallRecovery
  private readonly billMemory: BillMemory
  private readonly witnessClient: PeerWitnessClient
  private readonly bills: BillBatches
  private readonly witness: BillWitness
  /** Number of bills without a copy on a witness that was logged last. */
  private reportedUnreplicatedBills = 0
  private timers: readonly NodeJS.Timeout[] = []

  constructor (settings: InstanceLedgerSettings, catalogue: ReadonlyCatalogue, directory: PeerDirectory, recoveryRight: RecoveryRight, private readonly log: Log) {
    const { platformAddress: address, platformTimeout: timeout, localAddress } = settings
    const random = createRandomSource()
    // The ledger has separate connections, so that slow reads of the catalogue do not delay claims.
    this.http = new PlatformHttp({ address, timeout, localAddress })
    this.backend = new BackendClient(this.clock, { onLoad: () => {}, onLeaving: () => {} }, new AnySourceLeavingPolicy(), localAddress)
    const gate = new StoreGate(new HttpTableStore(this.http), this.clock, random)
    const committer = new RowCommitter(gate)
    this.claims = new CallClaims(gate, committer, this.clock, random)
    this.recovery = new CallRecovery(gate, committer, new HttpOutcomeLookup(catalogue, this.backend), recoveryRight, this.clock)
    const objects = new HttpObjectStore(this.http)
    this.billMemory = new BillMemory(settings.billMemory)
    this.witnessClient = new PeerWitnessClient(localAddress)
    this.witness = new BillWitness(objects, directory, this.billMemory, this.clock, random)
    this.bills = new BillBatches({ instance: settings.instanceId, startedAt: settings.incarnation }, settings.batchInterval,
      objects, this.witnessClient, directory, this.billMemory, this.clock, random)
    this.handlers = {
      claim: argument => this.claims.claim(argument),
      complete: ({ claim, revision, outcome }) => this.claims.complete(claim, revision, outcome),
      withdraw: async ({ claim, revision }) => { await this.claims.withdraw(claim, revision) },
      find: ({ workspace, key }) => this.claims.find(workspace, key),
      bill: async bill => { await this.bills.record(bill) }
    }
  }

  /** The procedures that other instances call to store copies of their bills in this instance. */
  get router (): LedgerRouter {
    return createLedgerRouter(this.witness)
  }

  /** Whether new billable work must be refused because no memory for bills is available. */
  get isBacklogFull (): boolean {
    return this.billMemory.isFull
  }

  start (): void {
    this.timers = [
      this.schedule(RETRY_INTERVAL_MILLISECONDS, () => this.claims.retryPending()),
      this.schedule(RECOVERY_INTERVAL_MILLISECONDS, () => this.recover()),
      this.schedule(REPLICATION_INTERVAL_MILLISECONDS, () => this.replicateBills()),
      this.schedule(WITNESS_TICK_INTERVAL_MILLISECONDS, () => this.witness.tick())
    ]
  }

  /** Writes pending outcomes and bills until the timeout, logs what could not be written, and closes all connections. */
  async stop (): Promise<void> {
    const deadline = this.clock.monotonic() + FLUSH_TIMEOUT_MILLISECONDS
    while (!await this.flush() && this.clock.monotonic() < deadline) await delay(FLUSH_POLL_MILLISECONDS)
    for (const timer of this.timers) clearInterval(timer)
    if (this.claims.pendingRows > 0) this.log.error('outcomes_not_written', { rows: this.claims.pendingRows })
    if (!this.bills.isEmpty || this.witness.heldBatches > 0) this.log.error('bills_not_written', { held_batches: this.witness.heldBatches, own: !this.bills.isEmpty })
    this.http.close()
    this.backend.close()
    this.witnessClient.close()
  }

  /** Writes all pending bills, and returns whether nothing is left to write. */
  private async flush (): Promise<boolean> {
    try {
      await this.bills.flush()
      await this.witness.flush()
    } catch {
      return false
    }
    return this.claims.pendingRows === 0
  }

  private async replicateBills (): Promise<void> {
    await this.bills.tick()
    if (this.bills.unreplicatedBillCount === this.reportedUnreplicatedBills) return
    this.reportedUnreplicatedBills = this.bills.unreplicatedBillCount
    this.log.warn('bills_unreplicated', { total: this.reportedUnreplicatedBills })
  }

  private async recover (): Promise<void> {
    for (const { requestId, workspace, service, state } of await this.recovery.run()) {
      this.log.warn('call_recovered', { request: requestId, workspace, service, state })
    }
  }

  private schedule (interval: number, task: () => Promise<void>): NodeJS.Timeout {
    return setInterval(() => { task().catch((error: Error) => this.log.warn('ledger_work_failed', { message: error.message })) }, interval)
  }
}
