/**
 * The encoding of changes that a reader sends to the other instances of its zone.
 *
 * The reader sends each change to many instances over one link, so it compresses large values.
 * Each value is compressed only once.
 */

import { gunzipSync, gzipSync } from 'node:zlib'

import { type TableChange } from '#jayfall/store'

import { MAXIMUM_COMPRESSION_RATIO, MAXIMUM_RELAYED_BYTES, MINIMUM_COMPRESSIBLE_VALUE_BYTES } from './JayfallFeedConstants'

/** A change as it is sent. */
export interface RelayedChange {
  readonly key: string
  readonly revision: number
  /** Era of the store in which the revision counts; older versions send none. */
  readonly era?: number
  readonly value: unknown
  /** The value as JSON, compressed by gzip, in base64; sent instead of `value`. */
  readonly packed?: string
}

/** A change in the form in which it is sent, and the size of its value in that form. */
interface EncodedChange {
  readonly change: RelayedChange
  readonly bytes: number
}

/** Encodes changes and caches the encoded form of each. */
export class ChangeEncoder {
  private readonly encodedChanges = new WeakMap<TableChange, EncodedChange>()

  /** Encodes changes; returns undefined when their encoded values have more than `limit` bytes. */
  encodeWithin (limit: number, changes: readonly TableChange[]): readonly RelayedChange[] | undefined {
    const encoded = changes.map(change => this.encode(change, limit))
    return encoded.reduce((sum, { bytes }) => sum + bytes, 0) > limit ? undefined : encoded.map(({ change }) => change)
  }

  private encode (change: TableChange, limit: number): EncodedChange {
    const known = this.encodedChanges.get(change)
    if (known !== undefined) return known
    const encoded = encodeChange(change, limit)
    // Under a higher limit, a value that was too large may be worth compressing.
    if (encoded.bytes <= limit) this.encodedChanges.set(change, encoded)
    return encoded
  }
}

/** Decodes a change that a reader encoded. */
export function decodeChange ({ packed, key, value, revision, era = 0 }: RelayedChange): TableChange {
  return { key, position: { era, revision }, value: packed === undefined ? value : JSON.parse(gunzipSync(Buffer.from(packed, 'base64'), { maxOutputLength: MAXIMUM_RELAYED_BYTES * MAXIMUM_COMPRESSION_RATIO }).toString()) }
}

function encodeChange (change: TableChange, limit: number): EncodedChange {
  const { key, position: { era, revision }, value } = change
  const text = JSON.stringify(value) ?? ''
  const bytes = Buffer.byteLength(text)
  if (bytes < MINIMUM_COMPRESSIBLE_VALUE_BYTES || bytes > limit * MAXIMUM_COMPRESSION_RATIO) return { change: { key, revision, era, value }, bytes }
  const packed = gzipSync(text).toString('base64')
  return { change: { key, revision, era, value: undefined, packed }, bytes: packed.length }
}
