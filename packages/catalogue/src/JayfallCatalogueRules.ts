/** Questions that the data path asks of the installed catalogue. */

import { type ReadonlyCatalogue } from './JayfallCatalogue'
import { type VersionEntry, type WorkspaceEntry } from './JayfallCatalogueEntry'

/** Why new work on a version is refused. */
export type VersionRefusal = 'version_unknown' | 'version_forbidden' | 'version_withdrawn' | 'version_unconfirmed'

/** What an instance knows when it asks whether it may start work. */
export interface DispatchConditions {
  /** Milliseconds since the catalogue was last known to be current. */
  readonly confirmationAge: number
  /** Above this age, versions with `whenCutOff: stop` get no new work. Milliseconds. */
  readonly confirmationLimit: number
}

/**
 * Whether `workspace` may start work on a version now, or why not.
 * Each dispatch asks again, as the catalogue may have changed since admission.
 */
export function findVersionRefusal (
  catalogue: ReadonlyCatalogue, workspaceId: string, versionId: string, conditions: DispatchConditions
): VersionRefusal | undefined {
  const version = catalogue.get('version', versionId)
  const workspace = catalogue.get('workspace', workspaceId)
  if (version === undefined) return 'version_unknown'
  if (workspace === undefined || !isVersionAllowed(catalogue, workspace, versionId)) return 'version_forbidden'
  if (version.state === 'withdrawn') return 'version_withdrawn'
  if (version.whenCutOff === 'stop' && conditions.confirmationAge > conditions.confirmationLimit) return 'version_unconfirmed'
  return undefined
}

/** Whether the workspace names the version itself or a cascade with the version among its steps. */
export function isVersionAllowed (catalogue: ReadonlyCatalogue, workspace: WorkspaceEntry, versionId: string): boolean {
  return workspace.allowed.includes(versionId) ||
    workspace.allowed.some(id => catalogue.get('cascade', id)?.steps.includes(versionId) === true)
}

/** The versions of `model` that are not withdrawn and that the workspace may use. */
export function findAllowedVersions (catalogue: ReadonlyCatalogue, workspace: WorkspaceEntry, model: string): readonly VersionEntry[] {
  return catalogue.all('version').filter(version =>
    version.model === model && version.state !== 'withdrawn' && isVersionAllowed(catalogue, workspace, version.id))
}

/**
 * Chooses a version for a new session by the versions' traffic shares.
 * `position` is uniform in [0, 1).
 */
export function chooseByTrafficShare (versions: readonly VersionEntry[], position: number): VersionEntry | undefined {
  const total = versions.reduce((sum, version) => sum + version.trafficShare, 0)
  let rest = position * total
  for (const version of versions) {
    rest -= version.trafficShare
    if (rest < 0) return version
  }
  return versions.find(version => version.trafficShare > 0)
}
