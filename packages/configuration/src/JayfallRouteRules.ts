/** Rules on routes: what they match, and whether their limits can hold together. */

import { type ForwardingRoute } from '#jayfall/forwarding'

import { HOST_PATTERN, LOWEST_PRIORITY, PREFIX_PATTERN } from './JayfallConfigurationConstants'
import { type FieldPath } from './JayfallConfigurationFormat'
import { ConfigurationRules, type RuleContext } from './JayfallConfigurationRules'
import { quote, type Finding } from './JayfallFindingReport'

/** Routes that no request can reach. */
export class RouteMatchRules extends ConfigurationRules {
  override * find (context: RuleContext): Generator<Finding> {
    const { configuration: { routes, workspaces } } = context
    for (const { first, index } of this.repetitions(routes, ({ host, prefix }) => JSON.stringify([host, prefix]))) {
      yield this.never(context, ['routes', index], `${context.describePath(['routes', first])} has the same host and prefix and takes all requests`)
    }
    for (const { first, index } of this.repetitions(routes, ({ name }) => name)) {
      yield this.finding(context, 'warning', 'contradiction', ['routes', index, 'name'], `${context.describePath(['routes', first])} has the same name; logs and session placement do not tell them apart`)
    }
    const hasNoKey = workspaces !== undefined && workspaces.every(({ keys }) => keys.length === 0)
    for (const [index, { host, prefix, isPublic }] of routes.entries()) {
      if (!HOST_PATTERN.test(host)) yield this.never(context, ['routes', index, 'host'], `${quote(host)} is no host name without port; hosts are compared as a whole and without port`)
      if (!PREFIX_PATTERN.test(prefix)) yield this.never(context, ['routes', index, 'prefix'], `${quote(prefix)} begins no path; paths begin with a slash and are compared without query`)
      if (hasNoKey && !isPublic) yield this.never(context, ['routes', index], 'the route needs a key, and no workspace has one')
    }
    if (workspaces === undefined && routes.some(({ isPublic }) => !isPublic)) {
      yield this.finding(context, 'warning', 'contradiction', ['workspaces'], 'not set, so requests need no key, also on routes that are not public')
    }
  }

  private never (context: RuleContext, path: FieldPath, message: string): Finding {
    return this.finding(context, 'warning', 'never-matches', path, message)
  }
}

/** Services to which a route sends its requests. */
export class RouteTargetRules extends ConfigurationRules {
  override * find (context: RuleContext): Generator<Finding> {
    const { configuration: { routes, services } } = context
    const names = new Set(services.map(({ name }) => name))
    for (const [index, { targets }] of routes.entries()) {
      const path = ['routes', index, 'targets']
      if (targets.length === 0) yield this.finding(context, 'error', 'invalid', path, 'the route has no service; its requests fail')
      const isWithoutWeight = targets.length > 0 && targets.every(({ weight }) => weight === 0)
      if (isWithoutWeight) yield this.finding(context, 'warning', 'contradiction', path, 'the weights add up to 0; all requests go to the last service')
      for (const [position, { service, weight }] of targets.entries()) {
        if (service === '') yield this.finding(context, 'error', 'invalid', [...path, position, 'service'], 'the route names no service; its requests are refused')
        else if (!names.has(service)) yield this.finding(context, 'error', 'invalid', [...path, position, 'service'], `there is no service ${quote(service)}; requests are refused as long as no server registers for it`)
        if (weight === 0 && !isWithoutWeight) yield this.finding(context, 'warning', 'never-matches', [...path, position, 'weight'], `the weight is 0; ${quote(service)} gets no request of this route`)
      }
    }
  }
}

/** Times, attempts and priority of a route. */
export class RouteLimitRules extends ConfigurationRules {
  override * find (context: RuleContext): Generator<Finding> {
    for (const [index, route] of context.configuration.routes.entries()) yield * this.findInRoute(context, index, route)
  }

  private * findInRoute (context: RuleContext, index: number, route: ForwardingRoute): Generator<Finding> {
    const { timeout, objective, eventGapObjective, maximumAttempts, isRepeatable, priority } = route
    const { instanceLimits: { minimumAttempt } } = context
    if (timeout < minimumAttempt) {
      yield this.finding(context, 'error', 'invalid', ['routes', index, 'timeout'], `${timeout} ms is below the smallest useful attempt, ${minimumAttempt} ms; all requests are refused`)
    }
    if (objective > timeout) yield this.contradiction(context, ['routes', index, 'objective'], `the objective, ${objective} ms, is above the timeout, ${timeout} ms`)
    if (eventGapObjective > timeout && eventGapObjective !== objective) {
      yield this.contradiction(context, ['routes', index, 'eventGapObjective'], `the objective for gaps, ${eventGapObjective} ms, is above the timeout, ${timeout} ms`)
    }
    if (maximumAttempts > 1 && !isRepeatable) {
      yield this.contradiction(context, ['routes', index, 'maximumAttempts'], `${maximumAttempts} attempts on a route whose requests must not run twice; after the first, only those are made before which the request has certainly not run`)
    }
    if (!isPriority(priority)) yield this.contradiction(context, ['routes', index, 'priority'], describePriority(priority))
  }

  private contradiction (context: RuleContext, path: FieldPath, message: string): Finding {
    return this.finding(context, 'warning', 'contradiction', path, message)
  }
}

export function isPriority (priority: number): boolean {
  return Number.isInteger(priority) && priority >= 0 && priority <= LOWEST_PRIORITY
}

export function describePriority (priority: number): string {
  return `${priority} is no whole number from 0 to ${LOWEST_PRIORITY}; instances use the nearest priority that they have`
}
