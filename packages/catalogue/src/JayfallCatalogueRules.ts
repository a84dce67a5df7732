/** Rules that the data path applies to the installed catalogue: which versions a workspace may use, and which one serves a new session. */

import { type ReadonlyCatalogue } from './JayfallCatalogue'
import { type VersionEntry, type WorkspaceEntry } from './JayfallCatalogueEntry'

/** Why new work on a version is refused. */
export type VersionRefusal = 'version_unknown' | 'version_forbidden' | 'version_withdrawn' | 'version_unconfirmed'

/** What an instance knows when it decides whether work may start. */
export interface DispatchConditions {
  /** Time since the catalogue was last known to be current, in milliseconds. */
  readonly confirmationAge: number
  /** Age in milliseconds above which versions with `whenCutOff: stop` get no new work. */
  readonly confirmationLimit: number
}

/**
 * Returns why a workspace may not start work on a version now, or undefined when it may.
 * Each dispatch checks again, as the catalogue may have changed since admission.
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

/** Returns whether the workspace allows the version itself or a cascade that has the version among its steps. */
export function isVersionAllowed (catalogue: ReadonlyCatalogue, workspace: WorkspaceEntry, versionId: string): boolean {
  return workspace.allowed.includes(versionId) ||
    workspace.allowed.some(id => catalogue.get('cascade', id)?.steps.includes(versionId) === true)
}

/** Returns the versions of `model` that are not withdrawn and that the workspace may use. */
export function findAllowedVersions (catalogue: ReadonlyCatalogue, workspace: WorkspaceEntry, model: string): readonly VersionEntry[] {
  return catalogue.all('version').filter(version =>
    version.model === model && version.state !== 'withdrawn' && isVersionAllowed(catalogue, workspace, version.id))
}

/**
 * Chooses a version for a new session in proportion to the traffic shares.
 * `position` is a uniform random number in [0, 1).
 */
export function chooseByTrafficShare (versions: readonly VersionEntry[], position: number): VersionEntry | undefined {
  const total = versions.reduce((sum, version) => sum + version.trafficShare, 0)
  let remaining = position * total
  for (const version of versions) {
    remaining -= version.trafficShare
    if (remaining < 0) return version
  }
  return versions.find(version => version.trafficShare > 0)
}
