/** Tests of how the time of the thread is divided between peers. The clock stands still but for the work itself. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { ManualClock } from '#jayfall/shared'

import { READ_OWN_SHARES, READ_PACE_INTERVAL_MILLISECONDS, READ_PEER_BURST_MILLISECONDS, READ_PEER_SHARE, READ_POOL_BURST_MILLISECONDS, READ_POOL_SHARE } from '../../JayfallForwardingConstants'
import { ReadPacer, type PacedReader } from '../../JayfallReadPacer'

const SECONDS = 10
const READ_BYTES = 64 * 1024
/** Charges are taken after the work, so each peer may exceed its time by one read. */
const ROUNDING = 1.1

/** A connection whose peer always has bytes. */
class BusyReader implements PacedReader {
  isPaused = false
  usedMilliseconds = 0

  constructor (readonly peer: string, private readonly clock: ManualClock, private readonly cost: number) {}

  pauseReading (): void {
    this.isPaused = true
  }

  resumeReading (): void {
    this.isPaused = false
  }

  read (pacer: ReadPacer): void {
    if (this.isPaused) return
    pacer.process(this.peer, this, READ_BYTES, () => {
      this.clock.advance(this.cost)
      this.usedMilliseconds += this.cost
    })
  }
}

function run (pacer: ReadPacer, clock: ManualClock, readers: readonly BusyReader[]): void {
  const end = clock.monotonic() + SECONDS * 1000
  while (clock.monotonic() < end) {
    for (const reader of readers) reader.read(pacer)
    clock.advance(READ_PACE_INTERVAL_MILLISECONDS)
    pacer.resumeReaders()
  }
}

/** Runs peers with a connection each. */
function runPeers (count: number): readonly BusyReader[] {
  const clock = new ManualClock()
  const readers = Array.from({ length: count }, (_, index) => new BusyReader(`peer-${index}`, clock, 0.5))
  run(new ReadPacer(clock), clock, readers)
  return readers
}

function total (readers: readonly BusyReader[]): number {
  return readers.reduce((sum, { usedMilliseconds }) => sum + usedMilliseconds, 0)
}

describe('ReadPacer', () => {
  describe('with peers that always have bytes', () => {
    // Servers that answered without end took the whole thread, and nothing else was answered.
    for (const count of [1, 4, 100]) {
      it(`leaves most of the thread to others with ${count} of them (guards against an instance that hangs)`, () => {
        const readers = runPeers(count)
        const shares = READ_POOL_SHARE + Math.min(READ_OWN_SHARES, count * READ_PEER_SHARE)
        assert.ok(total(readers) <= (shares * SECONDS * 1000 + READ_POOL_BURST_MILLISECONDS + count * READ_PEER_BURST_MILLISECONDS) * ROUNDING, `${total(readers)} ms`)
      })
    }

    it('gives each of them about the same', () => {
      const used = runPeers(5).map(({ usedMilliseconds }) => usedMilliseconds)
      assert.ok(Math.max(...used) < 1.5 * Math.min(...used), used.join(', '))
    })

    it('counts all connections of a peer together', () => {
      const clock = new ManualClock()
      const ofOne = Array.from({ length: 20 }, () => new BusyReader('greedy', clock, 0.5))
      const sound = new BusyReader('other', clock, 0.5)
      run(new ReadPacer(clock), clock, [...ofOne, sound])
      assert.ok(sound.usedMilliseconds > total(ofOne) / 2, `${sound.usedMilliseconds} and ${total(ofOne)} ms`)
      assert.ok(ofOne.every(({ usedMilliseconds }) => usedMilliseconds > 0))
    })

    it('charges bytes and calls whose time the clock does not show', () => {
      const clock = new ManualClock()
      const reader = new BusyReader('greedy', clock, 0)
      const pacer = new ReadPacer(clock)
      let reads = 0
      while (!reader.isPaused && reads < 1e6) {
        reader.read(pacer)
        reads++
      }
      assert.ok(reader.isPaused)
    })
  })

  describe('with a peer that uses little', () => {
    it('never lets it wait, whatever others use (guards against one peer that costs the answers of others)', () => {
      const clock = new ManualClock()
      const pacer = new ReadPacer(clock)
      const greedy = Array.from({ length: 5 }, (_, index) => new BusyReader(`greedy-${index}`, clock, 0.5))
      const sound = new BusyReader('sound', clock, 0.02)
      run(pacer, clock, [...greedy, sound])
      assert.ok(sound.usedMilliseconds > 0)
      assert.equal(sound.isPaused, false)
    })

    it('does not charge it for a pause of the process', () => {
      const clock = new ManualClock()
      const reader = new BusyReader('sound', clock, 5000)
      reader.read(new ReadPacer(clock))
      assert.equal(reader.isPaused, false)
    })
  })

  describe('with a reader that is closed while it waits', () => {
    it('does not resume it', () => {
      const clock = new ManualClock()
      const pacer = new ReadPacer(clock)
      const reader = new BusyReader('greedy', clock, 20)
      while (!reader.isPaused) reader.read(pacer)
      pacer.forget('greedy', reader)
      clock.advance(10_000)
      pacer.resumeReaders()
      assert.equal(reader.isPaused, true)
    })
  })
})
