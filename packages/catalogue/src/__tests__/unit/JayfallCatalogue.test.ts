import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import * as fastCheck from 'fast-check'

import { InstalledCatalogue, type CatalogueChange } from '../../JayfallCatalogue'

function change (revision: number, leaving = false): CatalogueChange {
  return { revision, key: 'instance-mark/one', entry: { kind: 'instance-mark', id: 'one', leaving }, writer: 'test', writeId: String(revision) }
}

describe('InstalledCatalogue', () => {
  describe('installChanges', () => {
    it('guards against a gap: a change is installed only on top of the one before it', () => {
      const catalogue = new InstalledCatalogue()
      assert.equal(catalogue.installChanges([change(2)]), 0)
      assert.equal(catalogue.installChanges([change(2), change(1)]), 2)
      assert.equal(catalogue.revision, 2)
    })

    it('guards against going back: no sequence of changes and snapshots lowers the revision', () => {
      const step = fastCheck.oneof(
        fastCheck.integer({ min: 1, max: 20 }).map(revision => ({ kind: 'change' as const, revision })),
        fastCheck.integer({ min: 0, max: 20 }).map(revision => ({ kind: 'snapshot' as const, revision }))
      )
      fastCheck.assert(fastCheck.property(fastCheck.array(step), steps => {
        const catalogue = new InstalledCatalogue()
        let highest = 0
        for (const { kind, revision } of steps) {
          if (kind === 'change') catalogue.installChanges([change(revision)])
          else catalogue.installSnapshot({ revision, entries: [] })
          assert.ok(catalogue.revision >= highest)
          highest = catalogue.revision
        }
      }))
    })
  })

  describe('changesAfter', () => {
    it('guards against an incomplete answer after a snapshot: undefined asks for a snapshot', () => {
      const catalogue = new InstalledCatalogue()
      catalogue.installSnapshot({ revision: 5, entries: [] })
      catalogue.installChanges([change(6)])
      assert.equal(catalogue.changesAfter(4), undefined)
      assert.deepEqual(catalogue.changesAfter(5)?.map(({ revision }) => revision), [6])
    })
  })
})
