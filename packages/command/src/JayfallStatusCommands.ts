/** `jayfall status` and `jayfall version status`: show which catalogue revision is accepted and where it is in force. */

import { CONFIRMATION_LIMIT_MILLISECONDS, STATUS_FORGOTTEN_AFTER_MILLISECONDS, ZONE_STATUS_TABLE, reportPropagation, type MissingInstance, type ZonePropagation, type ZoneStatus } from '#jayfall/control'
import { CatalogueStore, HttpTableStore, PlatformHttp, listRows, type TableStore } from '#jayfall/store'
import { command, positional, string } from 'cmd-ts'

import { CommandError } from './JayfallCommandError'
import { jsonOption, platformOption } from './JayfallCommandOptions'
import { printResult, runSubcommand } from './JayfallCommandOutput'

interface StatusSources {
  readonly catalogue: CatalogueStore
  readonly tables: TableStore
}

function withStatusSources (platform: string, work: (sources: StatusSources) => Promise<void>): Promise<void> {
  return runSubcommand(async () => {
    const http = new PlatformHttp({ address: platform })
    try {
      const tables = new HttpTableStore(http)
      await work({ catalogue: new CatalogueStore(tables), tables })
    } finally {
      http.close()
    }
  })
}

/** Returns the zones that have backend servers. They must have entry instances too, even if their status rows are outdated or missing. */
async function readZones (catalogue: CatalogueStore): Promise<readonly string[]> {
  const { entries } = await catalogue.readSnapshot()
  return [...new Set(entries.flatMap(({ entry }) => entry.kind === 'server' ? [entry.zone] : []))]
}

/** Returns the status rows that were written within `STATUS_FORGOTTEN_AFTER_MILLISECONDS`. */
async function readZoneStatuses (tables: TableStore, now: number): Promise<readonly ZoneStatus[]> {
  const rows: ZoneStatus[] = []
  for await (const { value } of listRows<ZoneStatus>(tables, ZONE_STATUS_TABLE, '')) {
    if (now - value.writtenAt < STATUS_FORGOTTEN_AFTER_MILLISECONDS) rows.push(value)
  }
  return rows
}

export const statusCommand = command({
  name: 'status',
  description: 'Show the accepted catalogue revision, the zones and the instances that lack it.',
  args: { platform: platformOption, json: jsonOption },
  handler: ({ platform, json }) => withStatusSources(platform, async ({ catalogue, tables }) => {
    const now = Date.now()
    const revision = await catalogue.readHead()
    const zones = reportPropagation({ revision, zones: await readZones(catalogue), rows: await readZoneStatuses(tables, now), now })
    const inForce = isInForceEverywhere(zones)
    printResult(json, { accepted: revision, inForce, zones }, [
      `accepted revision ${revision}, ${inForce ? 'in force everywhere' : 'not in force everywhere'}`,
      ...(zones.length === 0 ? ['no zone has reported; start entry instances or check that they reach the platform'] : zones.flatMap(describeZone))
    ])
  })
})

export const versionStatusCommand = command({
  name: 'status',
  description: 'Show where the last change of a version is in force, and how long instances without it may continue.',
  args: { id: positional({ type: string, displayName: 'version', description: 'such as guide-small-3' }), platform: platformOption, json: jsonOption },
  handler: ({ id, platform, json }) => withStatusSources(platform, async ({ catalogue, tables }) => {
    const now = Date.now()
    const found = await catalogue.readEntry(`version/${id}`)
    if (found?.entry.kind !== 'version') throw new CommandError('failed', `there is no version ${id}; "jayfall catalogue list" shows all entries`)
    const { entry, revision } = found
    const stopsAfter = entry.whenCutOff === 'stop' ? CONFIRMATION_LIMIT_MILLISECONDS : undefined
    const zones = reportPropagation({ revision, zones: await readZones(catalogue), rows: await readZoneStatuses(tables, now), now, stopsAfter })
    const inForce = isInForceEverywhere(zones)
    printResult(json, { version: id, state: entry.state, trafficShare: entry.trafficShare, whenCutOff: entry.whenCutOff, accepted: revision, inForce, zones }, [
      `${id} ${entry.state}, traffic share ${entry.trafficShare}, when cut off: ${entry.whenCutOff}`,
      `accepted as revision ${revision}, ${inForce ? 'in force everywhere' : 'not in force everywhere; run this command again in some seconds'}`,
      ...zones.flatMap(describeZone)
    ])
  })
})

function isInForceEverywhere (zones: readonly ZonePropagation[]): boolean {
  return zones.length > 0 && zones.every(({ state }) => state === 'in-force')
}

function describeZone (zone: ZonePropagation): readonly string[] {
  const age = zone.reportAge === undefined ? 'no report' : `reported ${formatSeconds(zone.reportAge)} ago`
  const leaving = zone.leaving.length === 0 ? '' : `, leaving: ${zone.leaving.join(' ')}`
  const limit = zone.state === 'in-force' || zone.missing.length > 0 ? '' : `, its instances ${describeContinuation(zone)}`
  return [
    `zone ${zone.zone}: ${zone.state.replace('-', ' ')}, ${zone.members} instances, ${age}${leaving}${limit}`,
    ...zone.missing.map(instance => `  ${instance.id} has revision ${instance.revision}, ${instance.state}, ${describeContinuation(instance)}`)
  ]
}

function describeContinuation ({ mayContinue }: Pick<MissingInstance, 'mayContinue'>): string {
  if (mayContinue === undefined) return 'may continue until reached again'
  return mayContinue === 0 ? 'no longer continues' : `may continue for at most ${formatSeconds(mayContinue)}`
}

function formatSeconds (milliseconds: number): string {
  return `${(milliseconds / 1000).toFixed(1)} s`
}
