/**
 * The encoding of changes that a reader sends to the other instances of its zone.
 *
 * The reader sends each change to many instances over one link, so it compresses large values.
 * Each value is compressed only once.
 */

import { gunzipSync, gzipSync } from 'node:zlib'

import { type TableChange } from '#jayfall/store'

import { MAXIMUM_COMPRESSIBLE_VALUE_BYTES, MINIMUM_COMPRESSIBLE_VALUE_BYTES } from './JayfallFeedConstants'

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
    const encoded = changes.map(change => this.encode(change))
    return encoded.reduce((sum, { bytes }) => sum + bytes, 0) > limit ? undefined : encoded.map(({ change }) => change)
  }

  private encode (change: TableChange): EncodedChange {
    const encoded = this.encodedChanges.get(change) ?? encodeChange(change)
    this.encodedChanges.set(change, encoded)
    return encoded
  }
}

/** Decodes a change that a reader encoded. */
export function decodeChange ({ packed, ...change }: RelayedChange): TableChange {
  return packed === undefined ? change : { ...change, value: JSON.parse(gunzipSync(Buffer.from(packed, 'base64')).toString()) }
}

function encodeChange (change: TableChange): EncodedChange {
  const { key, revision, value } = change
  const text = JSON.stringify(value) ?? ''
  const bytes = Buffer.byteLength(text)
  // A value above the maximum exceeds the limit of a reply even when it is compressed.
  if (bytes < MINIMUM_COMPRESSIBLE_VALUE_BYTES || bytes > MAXIMUM_COMPRESSIBLE_VALUE_BYTES) return { change, bytes }
  const packed = gzipSync(text).toString('base64')
  return { change: { key, revision, value: undefined, packed }, bytes: packed.length }
}
