/** Finds the route and the workspace of a request. */

import { type ForwardingCatalogue, type ForwardingRoute, type ForwardingWorkspace } from './JayfallForwardingCatalogue'

export type RouteDecision =
  | { readonly kind: 'allowed', readonly route: ForwardingRoute, readonly workspace: ForwardingWorkspace | undefined }
  | { readonly kind: 'unknown_route' }
  | { readonly kind: 'unknown_key' }

/** Index of one version of the catalogue. */
export class RouteTable {
  /** Routes by host, longest prefix first. */
  private readonly routesByHost = new Map<string, ForwardingRoute[]>()

  constructor (readonly catalogue: ForwardingCatalogue) {
    for (const route of catalogue.routes) {
      const routes = this.routesByHost.get(route.host) ?? []
      routes.push(route)
      this.routesByHost.set(route.host, routes)
    }
    for (const routes of this.routesByHost.values()) routes.sort((left, right) => right.prefix.length - left.prefix.length)
  }

  /** @param host the Host header, with or without a port. */
  find (host: string, path: string, key: string | undefined): RouteDecision {
    const pathWithoutQuery = path.split('?', 1)[0]
    const route = this.routesByHost.get(withoutPort(host))?.find(({ prefix }) => pathWithoutQuery.startsWith(prefix))
    if (route === undefined) return { kind: 'unknown_route' }
    const { workspacesByKey } = this.catalogue
    const workspace = key === undefined ? undefined : workspacesByKey?.get(key)
    if (workspace === undefined && workspacesByKey !== undefined && !route.isPublic) return { kind: 'unknown_key' }
    return { kind: 'allowed', route, workspace }
  }
}

function withoutPort (host: string): string {
  return host.split(':', 1)[0].toLowerCase()
}
