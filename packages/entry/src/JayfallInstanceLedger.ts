/** The ledger of one instance: claims of calls, their recovery, bills, and copies of other instances' bills. */

import { type ReadonlyCatalogue } from '#jayfall/catalogue'
import { BillBatches, BillMemory, BillWitness, CallClaims, CallRecovery, createLedgerRouter, PeerWitnessClient, REPLICATION_INTERVAL_MILLISECONDS, RowCommitter, StoreGate, type LedgerRouter, type RecoveryRight } from '#jayfall/ledger'
import { type PeerDirectory } from '#jayfall/peers'
import { HttpObjectStore, HttpTableStore, PlatformHttp } from '#jayfall/store'
import { createRandomSource, delay, SystemClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { BackendClient } from './JayfallBackendClient'
import { type CallHandlers } from './JayfallControlCalls'
import { HttpOutcomeLookup } from './JayfallHttpOutcomeLookup'
import { EarliestLeavingPolicy } from './JayfallLeavingPolicy'

const RETRY_INTERVAL_MILLISECONDS = 100
const WITNESS_INTERVAL_MILLISECONDS = 250
const RECOVERY_INTERVAL_MILLISECONDS = 5000
/** A stopping instance waits this long for outcomes that the store does not take. */
const FLUSH_LIMIT_MILLISECONDS = 5000
const FLUSH_POLL_MILLISECONDS = 250

export interface InstanceLedgerSettings {
  readonly instanceId: string
  /** IP address that connections are made from. */
  readonly localAddress: string
  readonly platformAddress: string
  readonly platformTimeout: number
  /** Milliseconds between writes of bills. */
  readonly batchInterval: number
  /** Bytes of bills that are not stored yet, above which no new billable work is taken. */
  readonly billMemory: number
  /** Wall-clock milliseconds of the start of this process. */
  readonly incarnation: number
}

/** Wires the ledger to the platform and the backend servers. */
export class InstanceLedger {
  readonly handlers: Omit<CallHandlers, 'offer' | 'collect'>
  private readonly clock = new SystemClock()
  private readonly http: PlatformHttp
  private readonly backend: BackendClient
  private readonly claims: CallClaims
  private readonly recovery: CallRecovery
  private readonly memory: BillMemory
  private readonly witnessClient: PeerWitnessClient
  private readonly bills: BillBatches
  private readonly witness: BillWitness
  private unreplicated = 0
  private timers: readonly NodeJS.Timeout[] = []

  constructor (settings: InstanceLedgerSettings, catalogue: ReadonlyCatalogue, directory: PeerDirectory, right: RecoveryRight, private readonly log: Log) {
    const { platformAddress: address, platformTimeout: timeout, localAddress } = settings
    const random = createRandomSource()
    // The ledger has connections of its own, so that slow readers of the catalogue do not delay claims.
    this.http = new PlatformHttp({ address, timeout, localAddress })
    this.backend = new BackendClient(this.clock, { onLoad: () => {}, onLeaving: () => {} }, new EarliestLeavingPolicy(), localAddress)
    const gate = new StoreGate(new HttpTableStore(this.http), this.clock, random)
    const committer = new RowCommitter(gate)
    this.claims = new CallClaims(gate, committer, this.clock, random)
    this.recovery = new CallRecovery(gate, committer, new HttpOutcomeLookup(catalogue, this.backend), right, this.clock)
    const objects = new HttpObjectStore(this.http)
    this.memory = new BillMemory(settings.billMemory)
    this.witnessClient = new PeerWitnessClient(localAddress)
    this.witness = new BillWitness(objects, directory, this.memory, this.clock, random)
    this.bills = new BillBatches({ instance: settings.instanceId, startedAt: settings.incarnation }, settings.batchInterval,
      objects, this.witnessClient, directory, this.memory, this.clock, random)
    this.handlers = {
      claim: argument => this.claims.claim(argument),
      complete: ({ claim, revision, outcome }) => this.claims.complete(claim, revision, outcome),
      withdraw: async ({ claim, revision }) => { await this.claims.withdraw(claim, revision) },
      find: ({ workspace, key }) => this.claims.find(workspace, key),
      bill: async bill => { await this.bills.record(bill) }
    }
  }

  /** The procedures by which other instances leave copies of their bills here. */
  get router (): LedgerRouter {
    return createLedgerRouter(this.witness)
  }

  /** Whether new billable work must be refused. */
  get isBacklogFull (): boolean {
    return this.memory.isFull
  }

  start (): void {
    this.timers = [
      this.every(RETRY_INTERVAL_MILLISECONDS, () => this.claims.retryPending()),
      this.every(RECOVERY_INTERVAL_MILLISECONDS, () => this.recover()),
      this.every(REPLICATION_INTERVAL_MILLISECONDS, () => this.copyBills()),
      this.every(WITNESS_INTERVAL_MILLISECONDS, () => this.witness.tick())
    ]
  }

  /** Writes what waits for the store, as far as the store takes it in time. */
  async stop (): Promise<void> {
    const deadline = this.clock.monotonic() + FLUSH_LIMIT_MILLISECONDS
    while (!await this.flush() && this.clock.monotonic() < deadline) await delay(FLUSH_POLL_MILLISECONDS)
    for (const timer of this.timers) clearInterval(timer)
    if (this.claims.pendingRows > 0) this.log.error('outcomes_not_written', { rows: this.claims.pendingRows })
    if (!this.bills.isEmpty || this.witness.heldBatches > 0) this.log.error('bills_not_written', { held_batches: this.witness.heldBatches, own: !this.bills.isEmpty })
    this.http.close()
    this.backend.close()
    this.witnessClient.close()
  }

  private async flush (): Promise<boolean> {
    try {
      await this.bills.flush()
      await this.witness.flush()
    } catch {
      return false
    }
    return this.claims.pendingRows === 0
  }

  private async copyBills (): Promise<void> {
    await this.bills.tick()
    if (this.bills.unreplicated === this.unreplicated) return
    this.unreplicated = this.bills.unreplicated
    this.log.warn('bills_unreplicated', { total: this.unreplicated })
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
