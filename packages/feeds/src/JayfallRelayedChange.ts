/**
 * Changes as a reader sends them to the instances of its zone.
 *
 * Each change goes to many instances over the reader's one link, so large values are compressed,
 * once for all of them.
 */

import { gunzipSync, gzipSync } from 'node:zlib'

import { type TableChange } from '#jayfall/store'

import { MAXIMUM_PACKED_VALUE_BYTES, MINIMUM_PACKED_VALUE_BYTES } from './JayfallFeedConstants'

/** A change whose value may be compressed: JSON, gzip, base64. */
export interface RelayedChange extends TableChange {
  readonly packed?: string
}

/** A change in the form in which it is sent. */
interface SentChange {
  readonly change: RelayedChange
  readonly bytes: number
}

export class RelayedChanges {
  private readonly known = new WeakMap<TableChange, SentChange>()

  /** The changes as they are sent; undefined when they take more than `limit` bytes. */
  within (limit: number, changes: readonly TableChange[]): readonly RelayedChange[] | undefined {
    const sent = changes.map(change => this.toSent(change))
    return sent.reduce((sum, { bytes }) => sum + bytes, 0) > limit ? undefined : sent.map(({ change }) => change)
  }

  private toSent (change: TableChange): SentChange {
    const known = this.known.get(change) ?? pack(change)
    this.known.set(change, known)
    return known
  }
}

export function unpackChange ({ packed, ...change }: RelayedChange): TableChange {
  return packed === undefined ? change : { ...change, value: JSON.parse(gunzipSync(Buffer.from(packed, 'base64')).toString()) }
}

function pack (change: TableChange): SentChange {
  const { key, revision, value } = change
  const text = JSON.stringify(value) ?? ''
  const bytes = Buffer.byteLength(text)
  // Beyond the maximum it would not fit either way.
  if (bytes < MINIMUM_PACKED_VALUE_BYTES || bytes > MAXIMUM_PACKED_VALUE_BYTES) return { change, bytes }
  const packed = gzipSync(text).toString('base64')
  return { change: { key, revision, value: undefined, packed }, bytes: packed.length }
}
