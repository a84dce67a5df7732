/** Reconstructs from log lines what happened to one request, and which state its instance worked with at that time. */

import { type LogRecord } from '#jayfall/telemetry'

export interface TimelineStep {
  readonly time: string | undefined
  readonly instance: string | undefined
  /** Description of what happened. */
  readonly text: string
}

export interface RequestTimeline {
  readonly request: string
  readonly steps: readonly TimelineStep[]
  /** Changes of the known state at the request's instances before the request ended, the latest last. */
  readonly beliefs: readonly TimelineStep[]
  /** The likely cause of the outcome, in one sentence. */
  readonly cause: string
}

/** Events that change the state an instance works with, each with the kind of object that it concerns. */
const STATE_CHANGE_EVENTS: ReadonlyMap<string, string> = new Map([
  ['catalogue_in_force', 'catalogue version'], ['server_known', 'server'], ['server_lapsed', 'server'], ['server_held_back', 'server'], ['server_gone', 'server'],
  ['store_lost', 'table'], ['store_regained', 'table'], ['rollout_ordered', 'service'], ['rollout_order_written_again', 'service'], ['store_came_back_from_copy', 'era'], ['table_read_in_new_era', 'table'], ['store_era_refuted', 'era'], ['prompt_suspected', 'prompt parts'], ['prompt_part_cleared', 'prompt part'], ['server_limited', 'server'], ['service_out_of_reach', 'service'], ['service_in_reach', 'service'], ['server_limit_ended', 'server'], ['rollout_known', 'service'], ['rollout_step', 'service'],
  ['started', 'instance'], ['stopping', 'instance'], ['settings_reloaded', 'settings']
])

/** Number of state changes that are shown with a request. */
const MAXIMUM_STATE_CHANGES = 12

/** Creates the timeline of a request; undefined when no line names the request. */
export function createTimeline (request: string, records: readonly LogRecord[]): RequestTimeline | undefined {
  const requestRecords = records.filter(({ fields }) => fields.request === request)
  if (requestRecords.length === 0) return undefined
  const instances = new Set(requestRecords.map(({ instance }) => instance))
  const servers = new Set(requestRecords.map(({ fields }) => fields.server).filter(server => server !== undefined))
  const end = requestRecords.map(({ time }) => time ?? '').sort().at(-1) ?? ''
  const stateChanges = records.filter(record => STATE_CHANGE_EVENTS.has(record.event) && instances.has(record.instance) && (record.time ?? '') <= end)
  const relevantChanges = stateChanges.filter(({ fields }) => fields.server === undefined || servers.has(fields.server))
  return { request, steps: requestRecords.map(toStep), beliefs: relevantChanges.slice(-MAXIMUM_STATE_CHANGES).map(toStateChange), cause: explainOutcome(requestRecords) }
}

function toStep (record: LogRecord): TimelineStep {
  return { time: record.time, instance: record.instance, text: describeRecord(record) }
}

function describeRecord ({ event, fields }: LogRecord): string {
  if (event === 'attempt_ended') {
    const { attempt, server, version, model, result, cause, load, load_age_ms: age, elapsed_ms: elapsed, confidence, minimum_confidence: minimum, estimated_ms: estimated, answered_ms: answered, events, prompt_parts: parts, fingerprint, server_ended: hasEnded } = fields
    const choice = `estimated ${String(estimated)} ms, load ${String(load)} as of ${String(age)} ms before`
    const confidenceText = confidence === undefined ? '' : `, confidence ${String(confidence)} of ${String(minimum)} asked for`
    const timing = answered === undefined ? '' : `, first answer after ${String(answered)} ms`
    const progress = parts === undefined ? '' : `, ${String(events)} events, prompt parts ${String(parts)}`
    const ending = hasEnded === true ? `, the server had ended under ${String(fingerprint)}` : ''
    return `attempt ${String(attempt)} at ${String(server)} (${[version, model].filter(part => part !== undefined).join(', ')}; ${choice}): ${String(result)}${cause === undefined ? '' : `, ${String(cause)}`}${confidenceText}${timing}${progress}${ending}, ${String(elapsed)} ms after arrival`
  }
  if (event === 'relay_ended') {
    const { relay, through, zone, result, code, cause, elapsed_ms: elapsed } = fields
    const reason = [code, cause].filter(part => part !== undefined).map(part => `, ${String(part)}`).join('')
    return `relay ${String(relay)} through ${String(through)} in ${String(zone)}: ${String(result)}${reason}, ${String(elapsed)} ms after arrival`
  }
  if (event === 'request_ended') {
    const { relayed_from: from, outcome, status, events, elapsed_ms: elapsed, allowed_ms: allowed, catalogue, route, first_event_ms: first, objective_ms: objective } = fields
    const stream = first === undefined ? '' : `, first event after ${String(first)} ms of ${String(objective)}, ${String(events)} events`
    return `ended${from === undefined ? '' : ` for ${String(from)}`} as ${String(outcome)}${status === undefined ? '' : ` with status ${String(status)}`} on ${String(route)} of catalogue ${String(catalogue)} after ${String(elapsed)} of ${String(allowed)} ms${stream}`
  }
  if (event === 'request_refused') return `refused with status ${String(fields.status)}: ${String(fields.code)}${fields.catalogue === undefined ? '' : `, catalogue ${String(fields.catalogue)}`}`
  return `${event} ${JSON.stringify(fields)}`
}

function toStateChange (record: LogRecord): TimelineStep {
  const fieldTexts = Object.entries(record.fields).filter(([key]) => key !== 'level').map(([key, value]) => `${key} ${String(value)}`).join(', ')
  return { time: record.time, instance: record.instance, text: `${record.event.replaceAll('_', ' ')}: ${fieldTexts}` }
}

function explainOutcome (records: readonly LogRecord[]): string {
  const refused = records.find(({ event }) => event === 'request_refused')
  if (refused !== undefined) return explainRefusal(String(refused.fields.code))
  const attempts = records.filter(({ event }) => event === 'attempt_ended')
  // Of a request that went through another instance, the one that the caller reached tells how it ended.
  const end = records.find(({ event, fields }) => event === 'request_ended' && fields.relayed_from === undefined)
  if (end === undefined) return 'The instance ended, or its log stopped, before the request had an answer.'
  const relays = records.filter(({ event }) => event === 'relay_ended')
  const results = [...attempts.map(({ fields }) => `${String(fields.result)} at ${String(fields.server)}`), ...relays.map(({ fields }) => `${String(fields.result)} through ${String(fields.through)}`)].join(', then ')
  switch (end.fields.outcome) {
    case 'delivered':
      return Number(end.fields.first_event_ms) > Number(end.fields.objective_ms) ? `The answer was late: ${results}.` : `The answer was delivered: ${results}.`
    case 'caller_left':
      return `The caller left before the answer: ${results === '' ? 'no attempt had ended' : results}.`
    case 'timeout':
      return `The caller's time or the route's limit ended: ${results}.`
    case 'no_server':
      return 'No server of the service was known that the request could run on.'
    case 'unreached':
      return `The instance reached no server of the service, and no other instance took the request: ${results === '' ? 'none was asked' : results}.`
    case 'suspect_prompt':
      return `This request, or prompts with the same parts, have crashed servers: ${results === '' ? 'it was sent to none' : results}.`
    case 'servers_limited':
      return 'The servers had named limits, and this instance had used its share of them.'
    case 'servers_cold':
      return 'Only cold servers could take the request, and this instance had no share of them in time.'
    case 'servers_evacuated':
      return 'All servers of the service were in evacuated zones.'
    case 'servers_busy':
      return 'Even the best server had more known work than there was time for the request.'
    case 'servers_full':
      return `No server took the request: ${results}.`
    default:
      return `The outcome is not known to have been a success: ${results}.`
  }
}

function explainRefusal (code: string): string {
  switch (code) {
    case 'starting': return 'The instance had just started and did not know the catalogue or the servers yet.'
    case 'stopping': return 'The instance was about to end, and the request came on a kept connection.'
    case 'unknown_key': return 'The catalogue in force held no such key.'
    case 'unknown_route': return 'The catalogue in force held no route for the host and path.'
    default: return `The request itself was not acceptable: ${code}.`
  }
}
