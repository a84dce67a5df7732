/**
 * Selects the instance that a request is handed to when this instance cannot reach the servers itself, without network I/O.
 *
 * Instances exchange nothing about what they reach, so nothing is sent while no instance is cut off. An instance that
 * cannot take a request says so before it has sent it to a server, and is left out for a while. When several in a row
 * say so, nobody is likely to reach the service, and requests are refused at once until a few are tried again.
 *
 * Requests go to the instance with the fewest of this instance's open relays. Instances of the own zone are preferred,
 * but a zone with few of them does not get all requests. Where some of a zone could not take a request, those of the
 * zone that were not asked yet are less likely to. In a large deployment each instance knows a part of the others, drawn
 * by its own identifier, so that the parts of all instances overlap evenly.
 */

import { combineHashes, hashName, rendezvousRank } from '#jayfall/shared'

import { FIRST_UNABLE_MILLISECONDS, MAXIMUM_FAR_TARGETS, MAXIMUM_NEAR_TARGETS, MAXIMUM_UNABLE_INSTANCES, MAXIMUM_UNABLE_MILLISECONDS, OTHER_ZONE_RELAYS, RELAY_PAUSE_MILLISECONDS, UNABLE_INSTANCE_RELAYS } from './JayfallForwardingConstants'

/** Another instance, with the IP address and port on which it accepts calls of instances. */
export interface RelayTarget {
  readonly id: string
  readonly zone: string
  readonly address: string
}

interface KnownTarget extends RelayTarget {
  /** Hash of the identifier, which orders equally good targets differently for each request. */
  readonly hash: number
}

interface ServiceRow {
  /** By instance, how long it is left out and until when, in monotonic milliseconds. */
  readonly unable: Map<string, { readonly duration: number, readonly until: number }>
  /** Instances that have taken a request and were not unable since. */
  readonly able: Set<string>
  /** Instances in a row that could not take a request. */
  unableInRow: number
  /** Requests that instances have taken and not answered yet. */
  openRelays: number
  pausedUntil: number
}

export class RelayTargets {
  private targets: readonly KnownTarget[] = []
  private readonly services = new Map<string, ServiceRow>()
  private readonly openRelays = new Map<string, number>()

  constructor (private readonly instance: string, private readonly zone: string) {}

  /** @param targets all other instances. */
  setTargets (targets: readonly RelayTarget[]): void {
    const byId = new Map(targets.map(target => [target.id, target]))
    const ranked = rendezvousRank(this.instance, byId.keys()).flatMap(id => byId.get(id) ?? [])
    const isNear = ({ zone }: RelayTarget): boolean => zone === this.zone
    const known = [...ranked.filter(isNear).slice(0, MAXIMUM_NEAR_TARGETS), ...ranked.filter(target => !isNear(target)).slice(0, MAXIMUM_FAR_TARGETS)]
    this.targets = known.map(target => ({ ...target, hash: hashName(target.id) }))
    const ids = new Set(this.targets.map(({ id }) => id))
    for (const { unable, able } of this.services.values()) {
      for (const id of [...unable.keys(), ...able]) {
        if (ids.has(id)) continue
        unable.delete(id)
        able.delete(id)
      }
    }
  }

  get hasTargets (): boolean {
    return this.targets.length > 0
  }

  /** Whether a request of the service could be handed to some instance. */
  isAvailable (service: string, now: number): boolean {
    return this.select(service, '', new Set(), now) !== undefined
  }

  /** @param excluded identifiers of instances that the request was handed to before. */
  select (service: string, request: string, excluded: ReadonlySet<string>, now: number): RelayTarget | undefined {
    const row = this.services.get(service)
    if (row !== undefined && now < row.pausedUntil) return undefined
    const unableShares = row === undefined ? undefined : this.unableShares(row)
    const requestHash = hashName(request)
    let best: RelayTarget | undefined
    let [lowestCost, lowestOrder] = [Infinity, Infinity]
    for (const target of this.targets) {
      if (excluded.has(target.id) || now < (row?.unable.get(target.id)?.until ?? -Infinity)) continue
      const risk = row?.able.has(target.id) === true ? 0 : unableShares?.get(target.zone) ?? 0
      const cost = (this.openRelays.get(target.id) ?? 0) + (target.zone === this.zone ? 0 : OTHER_ZONE_RELAYS) + risk * UNABLE_INSTANCE_RELAYS
      if (cost > lowestCost) continue
      const order = combineHashes(requestHash, target.hash)
      if (cost === lowestCost && order >= lowestOrder) continue
      best = target;
      [lowestCost, lowestOrder] = [cost, order]
    }
    return best
  }

  recordSent (id: string, service: string): void {
    this.openRelays.set(id, (this.openRelays.get(id) ?? 0) + 1)
    this.rowOf(service).openRelays++
  }

  recordEnd (id: string, service: string): void {
    this.rowOf(service).openRelays--
    const open = (this.openRelays.get(id) ?? 0) - 1
    if (open > 0) this.openRelays.set(id, open)
    else this.openRelays.delete(id)
  }

  /** Records that an instance has taken a request to the servers of the service. */
  recordAble (id: string, service: string): void {
    const row = this.rowOf(service)
    row.able.add(id)
    row.unable.delete(id)
    row.unableInRow = 0
  }

  /** Records that an instance could not be reached, or could not take a request of the service. */
  recordUnable (id: string, service: string, now: number): void {
    const row = this.rowOf(service)
    row.able.delete(id)
    const duration = Math.min(MAXIMUM_UNABLE_MILLISECONDS, (row.unable.get(id)?.duration ?? FIRST_UNABLE_MILLISECONDS / 2) * 2)
    row.unable.set(id, { duration, until: now + duration })
    if (++row.unableInRow < MAXIMUM_UNABLE_INSTANCES || row.able.size > 0 || row.openRelays > 0) return
    row.unableInRow = 0
    row.pausedUntil = now + RELAY_PAUSE_MILLISECONDS
  }

  /** By zone, the share of the instances asked there that could not take a request. */
  private unableShares ({ unable: unableInstances, able }: ServiceRow): ReadonlyMap<string, number> {
    const counts = new Map<string, { readonly unable: number, readonly asked: number }>()
    for (const { id, zone } of this.targets) {
      const isUnable = unableInstances.has(id)
      if (!isUnable && !able.has(id)) continue
      const { unable, asked } = counts.get(zone) ?? { unable: 0, asked: 0 }
      counts.set(zone, { unable: unable + Number(isUnable), asked: asked + 1 })
    }
    return new Map([...counts].map(([zone, { unable, asked }]) => [zone, unable / asked]))
  }

  private rowOf (service: string): ServiceRow {
    const row = this.services.get(service) ?? { unable: new Map<string, { readonly duration: number, readonly until: number }>(), able: new Set<string>(), unableInRow: 0, openRelays: 0, pausedUntil: -Infinity }
    this.services.set(service, row)
    return row
  }
}
