/**
 * A TCP proxy that injects faults on command.
 *
 * Each link forwards one loopback port to another. A link can delay bytes, cut connections,
 * go silent (connections stay open and nothing passes), or lose what the target answers.
 */

import Hapi, { type Server } from '@hapi/hapi'
import * as net from 'node:net'

import { delay } from '#jayfall/shared'

import { pathParameter } from './JayfallRequestFields'
import { DEFAULT_HOST } from './JayfallStandInConstants'

export interface ProxyLinkSettings {
  readonly name: string
  readonly port: number
  readonly targetPort: number
  readonly targetHost?: string
}

/** Faults of one link, for all sources or one. */
export interface LinkFaults {
  /** Milliseconds added in each direction. */
  readonly delay: number
  /** Connections are closed and new ones refused after accepting. */
  readonly cut: boolean
  /**
   * - `none`: bytes pass.
   * - `all`: nothing passes on any connection, open or new.
   * - `open`: nothing passes on the connections that are open now; new ones work.
   */
  readonly silence: 'none' | 'all' | 'open'
  /** The target's answers are discarded and their connections closed. */
  readonly lostReplies: boolean
}

const NO_LINK_FAULTS: LinkFaults = { delay: 0, cut: false, silence: 'none', lostReplies: false }

/** A change of a link's faults. */
export interface LinkFaultChange extends Partial<LinkFaults> {
  /** IP address of the connecting side that the faults apply to; all when unset. */
  readonly source?: string
}

const ALL_SOURCES = '*'

/** One forwarded port. */
class ProxyLink {
  private readonly faultsBySource = new Map<string, LinkFaults>([[ALL_SOURCES, NO_LINK_FAULTS]])
  private readonly connections = new Set<ProxyConnection>()
  readonly server = net.createServer(socket => this.accept(socket))

  constructor (readonly settings: ProxyLinkSettings) {}

  /** Applies a change to open and later connections, and returns the faults in force. */
  change ({ source = ALL_SOURCES, ...changes }: LinkFaultChange): LinkFaults {
    const faults = { ...this.faultsOf(source), ...changes }
    // Silence of the open connections is kept by each connection, and does not apply to later ones.
    this.faultsBySource.set(source, faults.silence === 'open' ? { ...faults, silence: 'none' } : faults)
    for (const connection of this.connections) {
      if (source !== ALL_SOURCES && connection.source !== source) continue
      if (faults.cut) connection.close()
      connection.silent = connection.silent || faults.silence === 'open'
    }
    return this.faultsOf(source)
  }

  private faultsOf (source: string): LinkFaults {
    return this.faultsBySource.get(source) ?? this.faultsBySource.get(ALL_SOURCES) ?? NO_LINK_FAULTS
  }

  private accept (socket: net.Socket): void {
    const source = socket.remoteAddress ?? ALL_SOURCES
    if (this.faultsOf(source).cut) {
      socket.destroy()
      return
    }
    const target = net.connect(this.settings.targetPort, this.settings.targetHost ?? DEFAULT_HOST)
    const connection = new ProxyConnection(source, socket, target, () => this.faultsOf(source))
    this.connections.add(connection)
    socket.once('close', () => this.connections.delete(connection))
  }
}

/** A pair of sockets. */
class ProxyConnection {
  silent = false

  constructor (readonly source: string, private readonly client: net.Socket, private readonly target: net.Socket, private readonly faults: () => LinkFaults) {
    this.forward(client, target, false)
    this.forward(target, client, true)
  }

  close (): void {
    this.client.destroy()
    this.target.destroy()
  }

  private forward (from: net.Socket, to: net.Socket, isReply: boolean): void {
    from.setNoDelay(true)
    // Bytes and the close keep their order when the delay shrinks, as on any TCP connection.
    let passed = Promise.resolve()
    const pass = (wait: number, action: () => void): void => {
      const due = performance.now() + wait
      passed = passed.then(() => delay(Math.max(0, due - performance.now()))).then(action)
    }
    from.on('data', bytes => {
      const { delay: wait, silence, lostReplies } = this.faults()
      // A connection that has lost bytes passes no later ones: TCP delivers a stream without gaps.
      this.silent = this.silent || silence === 'all'
      if (this.silent) return
      if (isReply && lostReplies) return this.close()
      pass(wait, () => { if (to.writable) to.write(bytes) })
    })
    from.once('error', () => this.close())
    from.once('close', () => {
      // A silent path passes no close either.
      if (!this.silent && this.faults().silence !== 'all') pass(this.faults().delay, () => this.close())
    })
  }
}

/** Starts a proxy with its links and a control port; `POST /links/{name}` changes a link's faults. */
export async function startFaultProxy (controlPort: number, links: readonly ProxyLinkSettings[], host = DEFAULT_HOST): Promise<Server> {
  const byName = new Map(links.map(settings => [settings.name, new ProxyLink(settings)]))
  for (const link of byName.values()) {
    await new Promise<void>(resolve => link.server.listen(link.settings.port, host, resolve))
  }
  const control = Hapi.server({ host, port: controlPort })
  control.route({
    method: 'POST',
    path: '/links/{name}',
    handler: (request, toolkit) => {
      const link = byName.get(pathParameter(request, 'name'))
      if (link === undefined) return toolkit.response({ error: 'unknown link' }).code(404)
      return toolkit.response({ ...link.change(request.payload as LinkFaultChange) })
    }
  })
  control.events.on('stop', () => {
    for (const link of byName.values()) {
      link.change({ cut: true })
      link.server.close()
    }
  })
  await control.start()
  return control
}
