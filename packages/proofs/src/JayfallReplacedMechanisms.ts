/**
 * Mechanisms that keep a promise, each replaced by one that does not, for counter-proofs.
 *
 * Parts of the data path are replaced through the container. Mechanisms of the ledger and of the
 * control plane are replaced on their classes, so that the product has no hook for it.
 */

import { ControlService } from '#jayfall/control'
import { AnswerReader, AnswerReaderFactory, LeavingPolicy, SessionPolicy, type DataParts, type ReaderOptions } from '#jayfall/entry'
import { BillBatches, CallClaims, StoreGate } from '#jayfall/ledger'

const EMPTY_FINAL = Buffer.from('data: {"choices":[],"usage":{"prompt_tokens":0,"completion_tokens":0}}\n\ndata: [DONE]\n\n')

/** Passes on whatever arrives, and takes the end of a connection for the end of the answer. */
class UncheckedReader extends AnswerReader {
  private events = 0
  private ended = false

  constructor (private readonly options: ReaderOptions, private readonly endsWithConnection: boolean) {
    super()
    this.events = options.nextIndex
    options.response.on('data', (chunk: Buffer) => this.take(chunk))
    options.response.on('close', () => this.close())
    options.response.on('error', () => this.close())
  }

  override pause (): void {
    this.options.response.pause()
  }

  override resume (): void {
    this.options.response.resume()
  }

  override stop (): void {
    this.ended = true
    this.options.response.destroy()
  }

  private take (chunk: Buffer): void {
    if (this.ended) return
    const isLast = chunk.includes('[DONE]')
    this.ended = isLast
    if (isLast) this.options.receiver.onFinalEvents(chunk, this.events)
    else this.options.receiver.onEvents(chunk, this.events++)
  }

  private close (): void {
    if (this.ended) return
    this.ended = true
    if (this.endsWithConnection) this.options.receiver.onFinalEvents(EMPTY_FINAL, this.events)
    else this.options.receiver.onInterruption('closed')
  }
}

class UncheckedReaderFactory extends AnswerReaderFactory {
  constructor (private readonly endsWithConnection: boolean) {
    super()
  }

  override open (options: ReaderOptions): AnswerReader {
    return new UncheckedReader(options, this.endsWithConnection)
  }
}

class ForgetfulSessionPolicy extends SessionPolicy {
  override async find (): Promise<undefined> {
    return undefined
  }
}

class DeafLeavingPolicy extends LeavingPolicy {
  override readonly hasExternalSources = false

  override isAnnounced (): boolean {
    return false
  }
}

/** Every attempt may send, whatever the row says. */
function grantEveryClaim (): void {
  CallClaims.prototype.claim = async () => ({ kind: 'granted', revision: 0 })
}

/** The end of an answer does not wait for a witness, and none is asked. */
function keepBillsAlone (): void {
  const { record } = BillBatches.prototype
  BillBatches.prototype.record = async function (bill) { record.call(this, bill).catch(() => {}) }
  Object.assign(BillBatches.prototype, { copyToWitness: async () => true })
}

/** Every claim waits for the store, however long it has been silent. */
function waitForStore (): void {
  StoreGate.prototype.run = async function (call) { return await call(this.store) }
}

const SELDOM_READ_MILLISECONDS = 30_000

interface ServiceInternals {
  readonly node: { tick (): number }
  readonly reader: { read (): Promise<void> }
  readonly clock: { monotonic (): number }
}

/** Instances exchange nothing and read the store only now and then, as a cache with a long lifetime would. */
function readStoreSeldom (): void {
  let lastRead: number | undefined
  ControlService.prototype.tick = function (this: ControlService): void {
    const { node, reader, clock } = this as unknown as ServiceInternals
    const now = clock.monotonic()
    node.tick()
    if (lastRead !== undefined && now - lastRead < SELDOM_READ_MILLISECONDS) return
    lastRead = now
    reader.read().catch(() => {})
  }
}

const REPLACED_PARTS: Readonly<Record<string, Partial<DataParts>>> = {
  'stream-checks': { streamReaders: new UncheckedReaderFactory(true) },
  'silence-checks': { streamReaders: new UncheckedReaderFactory(false) },
  sessions: { sessionPolicy: new ForgetfulSessionPolicy() },
  leaving: { leavingPolicy: new DeafLeavingPolicy() }
}

const REPLACED_CLASSES: Readonly<Record<string, () => void>> = {
  claims: grantEveryClaim,
  replication: keepBillsAlone,
  'store-gate': waitForStore,
  propagation: readStoreSeldom
}

/** Replaces the mechanism `name` in this process, and returns the parts of the data path to be replaced. */
export function replaceMechanism (name: string): Partial<DataParts> {
  REPLACED_CLASSES[name]?.()
  return REPLACED_PARTS[name] ?? {}
}
