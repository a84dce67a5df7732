/** `jayfall version`: starts the roll-out of a version, and withdraws versions. */

import { entryKey, type CatalogueEntry, type VersionEntry } from '#jayfall/catalogue'
import { type CatalogueStore } from '#jayfall/store'
import { shareAgainst, trafficShareOf, createRollout } from '#jayfall/rollout'
import { delay } from '#jayfall/shared'
import { command, flag, number, option, positional, string, subcommands } from 'cmd-ts'

import { CommandError } from './JayfallCommandError'
import { jsonOption, openCatalogueStore, platformOption, writerOption } from './JayfallCommandOptions'
import { printResult, runSubcommand } from './JayfallCommandOutput'
import { versionStatusCommand } from './JayfallStatusCommands'

/** Time within which a change is in effect on all reachable instances. */
const PROPAGATION_SECONDS = 9

const versionArgument = positional({ type: string, displayName: 'version', description: 'identifier of a version entry' })

/** A version as read from the catalogue, with all other entries. */
interface FoundVersion {
  readonly version: VersionEntry
  /** Revision at which the entry last changed. */
  readonly revision: number
  readonly entries: readonly CatalogueEntry[]
}

async function findVersion (store: CatalogueStore, id: string): Promise<FoundVersion> {
  const { entries } = await store.readSnapshot()
  const found = entries.find(({ entry }) => entry.kind === 'version' && entry.id === id)
  if (found === undefined) throw new CommandError('failed', `there is no version ${id}; "jayfall catalogue list" shows all, and "jayfall catalogue put" adds one`)
  return { version: found.entry as VersionEntry, revision: found.revision, entries: entries.map(({ entry }) => entry) }
}

async function withCatalogueStore (platform: string, work: (store: CatalogueStore) => Promise<void>): Promise<void> {
  await runSubcommand(async () => {
    const { store, close } = openCatalogueStore(platform)
    try {
      await work(store)
    } finally {
      close()
    }
  })
}

/** Returns the other versions of the model that are in service and receive traffic. */
function otherServingVersions ({ version, entries }: FoundVersion): readonly VersionEntry[] {
  return entries.filter((entry): entry is VersionEntry =>
    entry.kind === 'version' && entry.model === version.model && entry.id !== version.id && entry.state === 'in-service' && entry.trafficShare > 0)
}

function assertCanRollOut (found: FoundVersion): void {
  const { version, entries } = found
  if (version.state === 'in-service') throw new CommandError('failed', `${version.id} is in service already; nothing was changed`)
  if (version.state === 'rolling-out' && version.trafficShare > 0) throw new CommandError('failed', `${version.id} is being rolled out already; "jayfall version status ${version.id}" shows how far`)
  if (!entries.some(entry => entry.kind === 'service' && entry.versions.includes(version.id))) {
    throw new CommandError('failed', `no engine service runs ${version.id}; add it to the service's versions with "jayfall catalogue put" first`)
  }
  if (otherServingVersions(found).length === 0) {
    throw new CommandError('failed', `no other version of ${version.model} is in service to compare ${version.id} with; put it in service with "jayfall catalogue put" instead`)
  }
}

const rollOut = command({
  name: 'roll-out',
  description: 'Start the roll-out of a version. Its traffic share then grows on evidence from ratings, or the version is withdrawn.',
  args: { id: versionArgument, platform: platformOption, writer: writerOption, json: jsonOption },
  handler: ({ id, platform, writer, json }) => withCatalogueStore(platform, async store => {
    const found = await findVersion(store, id)
    assertCanRollOut(found)
    const trafficShare = shareAgainst(trafficShareOf(createRollout(0)), otherServingVersions(found).reduce((sum, other) => sum + other.trafficShare, 0))
    const entry: VersionEntry = { ...found.version, state: 'rolling-out', trafficShare, whenCutOff: 'stop' }
    const revision = await store.write({ key: entryKey(entry), entry, basedOn: found.revision, writer })
    printResult(json, { id, revision, trafficShare }, [
      `${id} accepted for roll-out as revision ${revision}`,
      `follow it with "jayfall version status ${id}"; stop it with "jayfall version withdraw ${id}"`
    ])
  })
})

const withdraw = command({
  name: 'withdraw',
  description: 'Withdraw a version: it gets no new work. With --hard, instances that are cut off stop using it too.',
  args: {
    id: versionArgument,
    hard: flag({ long: 'hard', description: 'first make instances that are cut off stop using the version, and wait until they know' }),
    wait: option({ long: 'wait', type: number, defaultValue: () => PROPAGATION_SECONDS, description: `seconds to wait with --hard; ${PROPAGATION_SECONDS} by default` }),
    platform: platformOption,
    writer: writerOption,
    json: jsonOption
  },
  handler: ({ id, hard, wait, platform, writer, json }) => withCatalogueStore(platform, async store => {
    const found = await findVersion(store, id)
    const { version } = found
    if (version.state === 'withdrawn') throw new CommandError('failed', `${id} is withdrawn already; "jayfall version status ${id}" shows where that is in effect`)
    let basedOn = found.revision
    if (hard && version.whenCutOff !== 'stop') {
      basedOn = await store.write({ key: entryKey(version), entry: { ...version, whenCutOff: 'stop' }, basedOn, writer })
      if (!json) printResult(false, undefined, [`${id} stops where instances are cut off, revision ${basedOn}; waiting ${wait} s until all know`])
      await delay(wait * 1000)
    }
    const entry: VersionEntry = { ...version, whenCutOff: hard ? 'stop' : version.whenCutOff, state: 'withdrawn', trafficShare: 0 }
    const revision = await store.write({ key: entryKey(entry), entry, basedOn, writer })
    const isLastServing = otherServingVersions(found).length === 0
    printResult(json, { id, revision, hard, lastOfModel: isLastServing }, [
      `${id} withdrawn as revision ${revision}`,
      ...(isLastServing ? [`no other version of ${version.model} is in service: new requests for ${version.model} are refused until one is put in service`] : []),
      `check with "jayfall version status ${id}" that it is in effect everywhere`
    ])
  })
})

export const versionCommands = subcommands({ name: 'version', description: 'Roll versions out and withdraw them.', cmds: { 'roll-out': rollOut, withdraw, status: versionStatusCommand } })
