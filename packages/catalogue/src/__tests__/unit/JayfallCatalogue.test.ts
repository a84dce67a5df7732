import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import * as fastCheck from 'fast-check'

import { InstalledCatalogue, type CatalogueChange } from '../../JayfallCatalogue'

function createChange (revision: number, leaving = false): CatalogueChange {
  return { revision, key: 'instance-mark/one', entry: { kind: 'instance-mark', id: 'one', leaving }, writer: 'test', writeId: String(revision) }
}

describe('InstalledCatalogue', () => {
  describe('installChanges', () => {
    // Guards against a gap in the installed changes.
    it('installs a change only on top of the preceding revision', () => {
      const catalogue = new InstalledCatalogue()
      assert.equal(catalogue.installChanges([createChange(2)]), 0)
      assert.equal(catalogue.installChanges([createChange(2), createChange(1)]), 2)
      assert.equal(catalogue.revision, 2)
    })

    // Guards against a return to an older catalogue.
    it('never lowers the revision, whatever changes and snapshots arrive', () => {
      const step = fastCheck.oneof(
        fastCheck.integer({ min: 1, max: 20 }).map(revision => ({ kind: 'change' as const, revision })),
        fastCheck.integer({ min: 0, max: 20 }).map(revision => ({ kind: 'snapshot' as const, revision }))
      )
      fastCheck.assert(fastCheck.property(fastCheck.array(step), steps => {
        const catalogue = new InstalledCatalogue()
        let highest = 0
        for (const { kind, revision } of steps) {
          if (kind === 'change') catalogue.installChanges([createChange(revision)])
          else catalogue.installSnapshot({ revision, entries: [] })
          assert.ok(catalogue.revision >= highest)
          highest = catalogue.revision
        }
      }))
    })
  })

  describe('changesAfter', () => {
    // Guards against an incomplete list of changes after the installation of a snapshot.
    it('returns undefined, which asks for a snapshot, when it lacks some of the changes', () => {
      const catalogue = new InstalledCatalogue()
      catalogue.installSnapshot({ revision: 5, entries: [] })
      catalogue.installChanges([createChange(6)])
      assert.equal(catalogue.changesAfter(4), undefined)
      assert.deepEqual(catalogue.changesAfter(5)?.map(({ revision }) => revision), [6])
    })
  })
})
