/**
 * Divides the time that the one thread spends on received bytes between the peers that send them.
 *
 * A peer is a server, another instance or a caller's connection. Each has a small share of its own and may use more as
 * long as the others leave it: what peers use beyond their shares comes from a pool, which those that wait for it
 * divide evenly. A peer that has used up what it has is not read from for a while, so the operating system holds
 * its bytes up at their source, and only its own answers are late.
 *
 * What is charged is the measured time, with a least price for each byte and each call that the runtime makes before
 * it hands them over. So the price follows the cost of any kind of bytes, also of those that nobody has thought of.
 */

import { type Clock } from '#jayfall/shared'

import { EXPECTED_READ_MILLISECONDS, MAXIMUM_READ_CHARGE_MILLISECONDS, READ_ACCOUNT_SWEEP_MILLISECONDS, READ_PACE_INTERVAL_MILLISECONDS, READ_PEER_BURST_MILLISECONDS, READ_OWN_SHARES, READ_PEER_SHARE, READ_POOL_BURST_MILLISECONDS, READ_POOL_SHARE, READ_PRICE_PER_BYTE_MILLISECONDS, READ_PRICE_PER_CALL_MILLISECONDS } from './JayfallForwardingConstants'

/** A connection that can be kept from delivering bytes. */
export interface PacedReader {
  pauseReading (): void
  resumeReading (): void
}

/** The time that a peer may still use, in milliseconds of the thread. */
interface PeerAccount {
  balance: number
  /** Monotonic milliseconds. */
  refilledAt: number
  /** Whether it was reported that the peer has to wait. */
  isReported: boolean
  /** Readers that wait until the balance is positive, in the order in which they are resumed. */
  readonly waiting: Set<PacedReader>
}

export class ReadPacer {
  private readonly accounts = new Map<string, PeerAccount>()
  /** Accounts with readers that wait. */
  private readonly waitingAccounts = new Set<PeerAccount>()
  private pool = READ_POOL_BURST_MILLISECONDS
  private poolRefilledAt: number
  private sweptAt: number
  private timer: NodeJS.Timeout | undefined

  /** @param onExhausted called with a peer that has used up its time, for the first time since it was idle. */
  constructor (private readonly clock: Clock, private readonly onExhausted: (peer: string) => void = () => {}) {
    this.poolRefilledAt = this.sweptAt = clock.monotonic()
  }

  /** Runs the processing of received bytes and charges it to their peer; the reader waits when the peer has used up its time. */
  process (peer: string, reader: PacedReader, bytes: number, work: () => void): void {
    const startedAt = this.clock.monotonic()
    try {
      work()
    } finally {
      const now = this.clock.monotonic()
      const measured = Math.min(MAXIMUM_READ_CHARGE_MILLISECONDS, now - startedAt)
      this.charge(peer, reader, measured + READ_PRICE_PER_CALL_MILLISECONDS + bytes * READ_PRICE_PER_BYTE_MILLISECONDS, now)
    }
  }

  /** Ends the wait of a reader that is closed. */
  forget (peer: string, reader: PacedReader): void {
    const account = this.accounts.get(peer)
    if (account?.waiting.delete(reader) === true && account.waiting.size === 0) this.waitingAccounts.delete(account)
  }

  /** Gives waiting peers what has become free, and resumes their readers. Called by a timer while any wait. */
  resumeReaders (): void {
    const now = this.clock.monotonic()
    this.refillPool(now)
    for (const account of [...this.waitingAccounts]) {
      this.refill(account, now)
      const share = Math.min(Math.max(0, -account.balance), this.pool / this.waitingAccounts.size)
      account.balance += share
      this.pool -= share
      this.resumeReadersOf(account)
    }
    if (this.waitingAccounts.size > 0) this.startTimer()
  }

  private charge (peer: string, reader: PacedReader, milliseconds: number, now: number): void {
    const account = this.accountOf(peer, now)
    account.balance -= milliseconds
    if (account.balance < 0 && this.waitingAccounts.size === 0) {
      this.refillPool(now)
      const taken = Math.min(-account.balance, this.pool)
      account.balance += taken
      this.pool -= taken
    }
    if (account.balance >= 0) return
    if (!account.isReported) this.onExhausted(peer)
    account.isReported = true
    reader.pauseReading()
    account.waiting.add(reader)
    this.waitingAccounts.add(account)
    this.startTimer()
  }

  private resumeReadersOf (account: PeerAccount): void {
    // Each reader is likely to use some time at once.
    let left = account.balance
    for (const reader of [...account.waiting]) {
      if (left < 0) return
      left -= EXPECTED_READ_MILLISECONDS
      account.waiting.delete(reader)
      if (account.waiting.size === 0) this.waitingAccounts.delete(account)
      reader.resumeReading()
    }
  }

  private accountOf (peer: string, now: number): PeerAccount {
    if (now - this.sweptAt >= READ_ACCOUNT_SWEEP_MILLISECONDS) this.dropFullAccounts(now)
    const known = this.accounts.get(peer)
    if (known !== undefined) {
      this.refill(known, now)
      return known
    }
    const account: PeerAccount = { balance: READ_PEER_BURST_MILLISECONDS, refilledAt: now, isReported: false, waiting: new Set() }
    this.accounts.set(peer, account)
    return account
  }

  /** Drops the accounts of peers that have used nothing lately, so that the others count as those that are active. */
  private dropFullAccounts (now: number): void {
    this.sweptAt = now
    for (const [peer, account] of this.accounts) {
      this.refill(account, now)
      if (account.balance === READ_PEER_BURST_MILLISECONDS && account.waiting.size === 0) this.accounts.delete(peer)
    }
  }

  private refill (account: PeerAccount, now: number): void {
    const share = Math.min(READ_PEER_SHARE, READ_OWN_SHARES / this.accounts.size)
    account.balance = Math.min(READ_PEER_BURST_MILLISECONDS, account.balance + Math.max(0, now - account.refilledAt) * share)
    account.refilledAt = now
  }

  private refillPool (now: number): void {
    this.pool = Math.min(READ_POOL_BURST_MILLISECONDS, this.pool + Math.max(0, now - this.poolRefilledAt) * READ_POOL_SHARE)
    this.poolRefilledAt = now
  }

  private startTimer (): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined
      this.resumeReaders()
    }, READ_PACE_INTERVAL_MILLISECONDS).unref()
  }
}
