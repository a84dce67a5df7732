/**
 * The encoding of changes that a reader sends to the other instances of its zone.
 *
 * The reader sends each change to many instances over one link, so it compresses large values.
 * Each value is compressed only once.
 */

import { gunzipSync, gzipSync } from 'node:zlib'

import { type TableChange } from '#jayfall/store'

import { MAXIMUM_COMPRESSION_RATIO, MINIMUM_COMPRESSIBLE_VALUE_BYTES } from './JayfallFeedConstants'

/** A change whose value may be compressed. `packed` is the value as JSON, compressed by gzip, in base64. */
export interface RelayedChange extends TableChange {
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
export function decodeChange ({ packed, ...change }: RelayedChange): TableChange {
  return packed === undefined ? change : { ...change, value: JSON.parse(gunzipSync(Buffer.from(packed, 'base64')).toString()) }
}

function encodeChange (change: TableChange, limit: number): EncodedChange {
  const { key, revision, value } = change
  const text = JSON.stringify(value) ?? ''
  const bytes = Buffer.byteLength(text)
  if (bytes < MINIMUM_COMPRESSIBLE_VALUE_BYTES || bytes > limit * MAXIMUM_COMPRESSION_RATIO) return { change, bytes }
  const packed = gzipSync(text).toString('base64')
  return { change: { key, revision, value: undefined, packed }, bytes: packed.length }
}
