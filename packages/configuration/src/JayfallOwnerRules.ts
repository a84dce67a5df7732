/** Rules on services, workspaces, and the limits for callers. */

import { KEY_PATTERN, LONGEST_USUAL_COLD_MILLISECONDS } from './JayfallConfigurationConstants'
import { type FieldPath } from './JayfallConfigurationFormat'
import { ConfigurationRules, type RuleContext } from './JayfallConfigurationRules'
import { quote, type Finding } from './JayfallFindingReport'
import { describePriority, isPriority } from './JayfallRouteRules'

export class ServiceRules extends ConfigurationRules {
  override * find (context: RuleContext): Generator<Finding> {
    const { configuration: { routes, services } } = context
    const used = new Set(routes.flatMap(({ targets }) => targets.map(({ service }) => service)))
    for (const { previous, index } of this.repetitions(services, ({ name }) => name)) {
      yield this.finding(context, 'error', 'invalid', ['services', previous], `ignored, as ${context.describePath(['services', index])} has the same name`)
    }
    for (const [index, { name, healthPath, cold }] of services.entries()) {
      if (!used.has(name)) yield this.finding(context, 'warning', 'never-matches', ['services', index], `no route uses ${quote(name)}`)
      if (!healthPath.startsWith('/')) yield this.finding(context, 'error', 'invalid', ['services', index, 'healthPath'], `${quote(healthPath)} does not begin with a slash; health requests fail`)
      if (cold !== undefined) yield * this.findInColdService(context, index, cold.duration, cold.requestsPerSecond)
    }
  }

  private * findInColdService (context: RuleContext, index: number, duration: number | undefined, rate: number | undefined): Generator<Finding> {
    const contradiction = (field: string, message: string): Finding => this.finding(context, 'warning', 'contradiction', ['services', index, 'cold', field], message)
    if (duration === undefined && rate !== undefined) yield contradiction('requestsPerSecond', 'a cold rate without a cold time limits nothing')
    if (duration !== undefined && rate === undefined) yield contradiction('duration', 'a cold time without a cold rate limits nothing')
    if (duration === 0 && rate !== undefined) yield contradiction('duration', 'the cold time is 0; the cold rate limits nothing')
    if (rate === 0 && duration !== undefined && duration > 0) yield contradiction('requestsPerSecond', 'the cold rate is 0; a server gets no requests while it is cold')
    if (duration !== undefined && duration > LONGEST_USUAL_COLD_MILLISECONDS) yield contradiction('duration', `the cold time is longer than ${LONGEST_USUAL_COLD_MILLISECONDS / 1000} s`)
  }
}

export class WorkspaceRules extends ConfigurationRules {
  override * find (context: RuleContext): Generator<Finding> {
    const { describePath, configuration: { workspaces = [] } } = context
    for (const { first, index } of this.repetitions(workspaces, ({ name }) => name)) {
      yield this.finding(context, 'warning', 'contradiction', ['workspaces', index, 'name'], `${describePath(['workspaces', first])} has the same name; both count as one workspace`)
    }
    for (const [index, { keys, priority }] of workspaces.entries()) {
      if (keys.length === 0) yield this.finding(context, 'warning', 'never-matches', ['workspaces', index], 'the workspace has no keys, so no request belongs to it')
      if (priority !== undefined && !isPriority(priority)) yield this.finding(context, 'warning', 'contradiction', ['workspaces', index, 'priority'], describePriority(priority))
    }
    yield * this.findInKeys(context)
  }

  /** Messages name the places of keys only, because reports are kept in logs. */
  private * findInKeys (context: RuleContext): Generator<Finding> {
    const { describePath, configuration: { workspaces = [] } } = context
    const holders = new Map<string, { readonly workspace: number, readonly path: FieldPath }>()
    for (const [workspace, { keys }] of workspaces.entries()) {
      for (const [position, key] of keys.entries()) {
        const path = ['workspaces', workspace, 'keys', position]
        const holder = holders.get(key)
        if (!KEY_PATTERN.test(key)) yield this.finding(context, 'warning', 'never-matches', path, 'callers cannot send this key: it is empty or has characters other than visible ASCII')
        if (holder?.workspace === workspace) yield this.finding(context, 'warning', 'contradiction', path, `the same key as ${describePath(holder.path)}`)
        else if (holder !== undefined) yield this.finding(context, 'error', 'invalid', holder.path, `ignored, as ${describePath(path)} is the same key and belongs to another workspace`)
        holders.set(key, { workspace, path })
      }
    }
  }
}

export class CallerLimitRules extends ConfigurationRules {
  override * find (context: RuleContext): Generator<Finding> {
    const { instanceLimits, configuration: { limits: { headerBytes, bodyBytes, headerTimeout, idleTimeout } } } = context
    if (headerBytes <= 0) yield this.invalid(context, 'headerBytes', `${headerBytes} bytes; all requests are refused`)
    if (bodyBytes < 0) yield this.invalid(context, 'bodyBytes', `${bodyBytes} bytes; all requests are refused`)
    if (headerTimeout < 0) yield this.invalid(context, 'headerTimeout', `${headerTimeout} ms is below 0`)
    if (idleTimeout < 0) yield this.invalid(context, 'idleTimeout', `${idleTimeout} ms is below 0`)
    if (headerTimeout === 0) yield this.contradiction(context, 'headerTimeout', '0 turns the limit off')
    if (idleTimeout === 0) yield this.contradiction(context, 'idleTimeout', '0 turns the limit off')
    if (bodyBytes < headerBytes) yield this.contradiction(context, 'bodyBytes', `the body limit, ${bodyBytes} bytes, is below the header limit, ${headerBytes} bytes`)
    if (headerBytes > instanceLimits.maximumHeaderBytes) yield this.contradiction(context, 'headerBytes', `${headerBytes} bytes; instances refuse headers above ${instanceLimits.maximumHeaderBytes} bytes`)
    if (idleTimeout > 0 && idleTimeout < headerTimeout) yield this.contradiction(context, 'idleTimeout', `the idle timeout, ${idleTimeout} ms, is below the header timeout, ${headerTimeout} ms`)
  }

  private invalid (context: RuleContext, field: string, message: string): Finding {
    return this.finding(context, 'error', 'invalid', ['limits', field], message)
  }

  private contradiction (context: RuleContext, field: string, message: string): Finding {
    return this.finding(context, 'warning', 'contradiction', ['limits', field], message)
  }
}
