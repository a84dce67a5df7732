/**
 * The installed catalogue: all entries at one revision.
 *
 * The catalogue changes only by installation, and its revision never decreases: a change
 * is installed only on top of the preceding revision, and a snapshot only when its
 * revision is higher than the installed one, whichever source it comes from.
 */

import { invariant } from '#jayfall/shared'

import { MAXIMUM_CHANGES_BEFORE_SNAPSHOT, REVISION_DIGITS } from './JayfallCatalogueConstants'
import { entryKey, type CascadeEntry, type CatalogueEntry, type EntryKind, type InstanceMarkEntry, type ServerEntry, type ServiceEntry, type VersionEntry, type WorkspaceEntry } from './JayfallCatalogueEntry'

/** One accepted change. `entry` is null when the entry was removed. */
export interface CatalogueChange {
  readonly revision: number
  readonly key: string
  readonly entry: CatalogueEntry | null
  /** The author of the change, for operators. */
  readonly writer: string
  /** Identifies the write, so that its writer recognises it after a lost reply. */
  readonly writeId: string
}

/** An entry and the revision at which it last changed. */
export interface RevisedEntry {
  readonly revision: number
  readonly entry: CatalogueEntry
}

/** All entries at one revision. */
export interface CatalogueSnapshot {
  readonly revision: number
  readonly entries: readonly RevisedEntry[]
}

type EntryOfKind = {
  readonly version: VersionEntry
  readonly cascade: CascadeEntry
  readonly workspace: WorkspaceEntry
  readonly service: ServiceEntry
  readonly server: ServerEntry
  readonly 'instance-mark': InstanceMarkEntry
}

/** Read access to the installed catalogue. */
export interface ReadonlyCatalogue {
  /** The installed revision; 0 before anything was installed. */
  readonly revision: number
  get<Kind extends EntryKind> (kind: Kind, id: string): EntryOfKind[Kind] | undefined
  all<Kind extends EntryKind> (kind: Kind): readonly EntryOfKind[Kind][]
  /** Returns the changes above `revision`, or undefined when a snapshot is needed instead. */
  changesAfter (revision: number): readonly CatalogueChange[] | undefined
  snapshot (): CatalogueSnapshot
  /** Calls `listener` after each installation and returns a function that removes it. */
  registerInstallListener (listener: InstallListener): () => void
}

export type InstallListener = (catalogue: ReadonlyCatalogue) => void

/** The catalogue as one instance has installed it. */
export class InstalledCatalogue implements ReadonlyCatalogue {
  private installedRevision = 0
  private entriesByKey = new Map<string, RevisedEntry>()
  private recentChanges: readonly CatalogueChange[] = []
  private listsByKind = new Map<EntryKind, readonly CatalogueEntry[]>()
  private listeners: readonly InstallListener[] = []

  get revision (): number {
    return this.installedRevision
  }

  get<Kind extends EntryKind> (kind: Kind, id: string): EntryOfKind[Kind] | undefined {
    return this.entriesByKey.get(entryKey({ kind, id }))?.entry as EntryOfKind[Kind] | undefined
  }

  all<Kind extends EntryKind> (kind: Kind): readonly EntryOfKind[Kind][] {
    let list = this.listsByKind.get(kind)
    if (list === undefined) {
      list = [...this.entriesByKey.values()].map(({ entry }) => entry).filter(entry => entry.kind === kind)
      this.listsByKind.set(kind, list)
    }
    return list as readonly EntryOfKind[Kind][]
  }

  changesAfter (revision: number): readonly CatalogueChange[] | undefined {
    if (revision >= this.installedRevision) return []
    const changes = this.recentChanges.filter(change => change.revision > revision)
    return changes.length === this.installedRevision - revision ? changes : undefined
  }

  snapshot (): CatalogueSnapshot {
    return { revision: this.installedRevision, entries: [...this.entriesByKey.values()] }
  }

  registerInstallListener (listener: InstallListener): () => void {
    this.listeners = [...this.listeners, listener]
    return () => {
      this.listeners = this.listeners.filter(other => other !== listener)
    }
  }

  /** Installs the changes that follow the installed revision without a gap and returns their number. */
  installChanges (changes: readonly CatalogueChange[]): number {
    let installed = 0
    for (const change of [...changes].sort((left, right) => left.revision - right.revision)) {
      if (change.revision !== this.installedRevision + 1) continue
      this.applyChange(change)
      installed++
    }
    if (installed > 0) this.notifyListeners()
    return installed
  }

  /** Installs `snapshot` when its revision is higher than the installed one, and returns whether it did. */
  installSnapshot (snapshot: CatalogueSnapshot): boolean {
    if (snapshot.revision <= this.installedRevision) return false
    this.entriesByKey = new Map(snapshot.entries.map(revised => [entryKey(revised.entry), revised]))
    this.recentChanges = []
    this.installedRevision = snapshot.revision
    this.notifyListeners()
    return true
  }

  private applyChange (change: CatalogueChange): void {
    if (change.entry === null) {
      this.entriesByKey.delete(change.key)
    } else {
      invariant(entryKey(change.entry) === change.key, 'a change holds the entry that its key names')
      this.entriesByKey.set(change.key, { revision: change.revision, entry: change.entry })
    }
    this.recentChanges = [...this.recentChanges.slice(-MAXIMUM_CHANGES_BEFORE_SNAPSHOT + 1), change]
    this.installedRevision = change.revision
  }

  private notifyListeners (): void {
    this.listsByKind = new Map()
    for (const listener of this.listeners) listener(this)
  }
}

/** Returns the key of a revision in the change log; keys sort by revision. */
export function changeKey (revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0')
}
