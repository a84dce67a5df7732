/** Processes one caller's request up to its final answer. */

import { type AttemptPlan, type AttemptResult, type FinalDecision, type PlanContext } from './JayfallAttemptPlan'
import { waitFor } from './JayfallBoundedWait'
import { AttemptRunner, NOT_RUN_GUARANTEE_STATUSES, type CallerRequest } from './JayfallAttemptRunner'
import { type BufferedAnswer, type CallerAnswer } from './JayfallCallerAnswer'
import { type ForwardingContext } from './JayfallForwardingContext'
import { planRequest, type PlanStep, type RelayPlan, type RelayResult, type WaitPlan, type WaitResult } from './JayfallRelayPlan'
import { RelayRunner } from './JayfallRelayRunner'

const FAILURE_STATUSES = { answer_lost: 502, suspect_prompt: 502, timeout: 504 } as const

export class ForwardedCall {
  private readonly runner: AttemptRunner
  private readonly relayRunner: RelayRunner
  private relays = 0
  /** Milliseconds for which the request waited at this instance. */
  private waited = 0

  constructor (
    private readonly context: ForwardingContext,
    private readonly plan: PlanContext,
    private readonly request: CallerRequest,
    private readonly answer: CallerAnswer,
    private readonly catalogueVersion: number
  ) {
    answer.requestId = request.requestId
    this.runner = new AttemptRunner(context, plan, request, answer)
    this.relayRunner = new RelayRunner(context, plan, request, answer, catalogueVersion)
  }

  /** Runs attempts until the caller has its final answer. */
  async run (): Promise<void> {
    const steps = planRequest(this.plan)
    let step = steps.next()
    while (step.done !== true) {
      step = steps.next(await this.runStep(step.value))
    }
    this.runner.finishObservations()
    this.finish(step.value)
    this.logOutcome(step.value)
  }

  private runStep (step: PlanStep): Promise<AttemptResult | RelayResult | WaitResult> {
    switch (step.kind) {
      case 'attempt': return this.runAttempt(step.plan)
      case 'relay': return this.runRelay(step.plan)
      case 'wait': return this.wait(step.plan)
    }
  }

  private async wait ({ duration }: WaitPlan): Promise<WaitResult> {
    this.waited += duration
    // A promise that several waits shared would keep the callbacks of all of them.
    const { kind } = await waitFor(new Promise<never>(() => {}), duration, [this.answer.callerDisconnected])
    return { kind: kind === 'stopped' ? 'caller_left' : 'waited' }
  }

  private async runAttempt (attempt: AttemptPlan): Promise<AttemptResult> {
    const result = await this.runner.run(attempt)
    this.logAttempt(attempt, result)
    return result
  }

  private async runRelay (relay: RelayPlan): Promise<RelayResult> {
    this.relays++
    const result = await this.relayRunner.run(relay)
    this.logRelay(relay, result)
    return result
  }

  private get bufferedAnswer (): BufferedAnswer | undefined {
    return this.relayRunner.bufferedAnswer ?? this.runner.bufferedAnswer
  }

  private finish (decision: FinalDecision): void {
    if (decision.kind === 'none' || this.answer.callerDisconnected.aborted) return
    if (decision.kind === 'deliver') return this.deliverBufferedAnswer()
    if (this.answer.hasBegun) return this.answer.abortConnection()
    const { protocol } = this.context
    const { requestId } = this.request
    if (decision.kind === 'refuse') this.answer.sendRouterAnswer(503, protocol.encodeRefusalHeaders(requestId, decision.retryAfter), `not run: ${decision.code}\n`, { kind: 'refused', code: decision.code, retryAfter: decision.retryAfter, isUnable: decision.code === 'unreached' })
    else this.answer.sendRouterAnswer(FAILURE_STATUSES[decision.code], protocol.encodeRefusalHeaders(requestId, undefined), `failed: ${decision.code}\n`, { kind: 'failed', code: decision.code })
  }

  private deliverBufferedAnswer (): void {
    const { bufferedAnswer } = this
    // The events of a stream were forwarded as they arrived.
    if (bufferedAnswer === undefined) return
    // The server ran the request, so a status that guarantees the opposite must not reach the caller.
    if (NOT_RUN_GUARANTEE_STATUSES.has(bufferedAnswer.status)) this.answer.sendRouterAnswer(FAILURE_STATUSES.answer_lost, this.context.protocol.encodeRefusalHeaders(this.request.requestId, undefined), 'failed: server_failed\n', { kind: 'failed', code: 'answer_lost' })
    else this.answer.sendBuffered(bufferedAnswer)
  }

  private logAttempt ({ number, server, model, selection, versionRule, resumeAfter }: AttemptPlan, result: AttemptResult): void {
    const { log, metrics, clock } = this.context
    metrics.count('jayfall_forwarding_attempts_total', { service: this.plan.service, result: result.kind })
    if (versionRule.sessionVersion !== undefined && versionRule.sessionVersion !== server.version) metrics.count('jayfall_forwarding_sessions_moved_total', { service: this.plan.service, reason: versionRule.reason })
    log.info('attempt_ended', {
      request: this.request.requestId,
      attempt: number,
      server: server.id,
      version: server.version,
      session: this.plan.session,
      session_version: versionRule.sessionVersion,
      version_rule: versionRule.reason,
      version_forced: versionRule.isPreferred(server.version) ? undefined : true,
      model,
      server_zone: server.zone,
      priority: this.plan.priority,
      excess: this.plan.isExcess ? true : undefined,
      in_lane: selection.isInLane ? true : undefined,
      result: result.kind,
      cause: 'cause' in result ? result.cause : undefined,
      status: 'status' in result ? result.status : undefined,
      confidence: 'confidence' in result ? result.confidence : undefined,
      minimum_confidence: Math.round(this.runner.minimumConfidence),
      resumed_after: resumeAfter,
      events: result.kind === 'broken' ? this.runner.receivedEvents : undefined,
      fingerprint: result.kind === 'broken' ? this.plan.identity.fingerprint : undefined,
      server_ended: this.runner.hasServerEnded,
      prompt_parts: result.kind === 'broken' ? this.plan.fields.promptParts.map(({ id }) => id).join(',') : undefined,
      load: Math.round(selection.estimatedLoad * 10) / 10,
      reported_running: selection.row.loadReport?.running,
      reported_waiting: selection.row.loadReport?.waiting,
      reported_slowness: selection.row.loadReport?.slowness,
      server_limit: this.runner.rateLimit,
      load_age_ms: Math.round(selection.loadReportAge),
      unread_tokens: selection.uncachedTokens,
      estimated_ms: Math.round(selection.timeToFirstEvent),
      answered_ms: this.runner.timeToAnswer === undefined ? undefined : Math.round(this.runner.timeToAnswer),
      prompt_tokens: this.plan.fields.promptTokens,
      elapsed_ms: Math.round(clock.monotonic() - this.plan.arrivedAt)
    })
  }

  private logRelay ({ number, target }: RelayPlan, result: RelayResult): void {
    const { log, metrics, clock } = this.context
    metrics.count('jayfall_forwarding_relays_total', { service: this.plan.service, result: result.kind })
    log.info('relay_ended', {
      request: this.request.requestId,
      relay: number,
      through: target.id,
      zone: target.zone,
      result: result.kind,
      cause: 'cause' in result ? result.cause : undefined,
      code: 'code' in result ? result.code : undefined,
      elapsed_ms: Math.round(clock.monotonic() - this.plan.arrivedAt)
    })
  }

  private logOutcome (decision: FinalDecision): void {
    const { log, metrics, clock } = this.context
    const elapsed = clock.monotonic() - this.plan.arrivedAt
    const outcome = decision.kind === 'refuse' || decision.kind === 'fail' ? decision.code : this.answer.callerDisconnected.aborted ? 'caller_left' : 'delivered'
    // A relayed request is counted by the instance that its caller reached.
    if (this.plan.relayedFrom === undefined) {
      metrics.count('jayfall_forwarding_requests_total', { route: this.plan.route.name, outcome })
      metrics.record('jayfall_forwarding_request_seconds', { route: this.plan.route.name }, elapsed)
    } else {
      metrics.count('jayfall_forwarding_relayed_requests_total', { service: this.plan.service, outcome })
    }
    log.info('request_ended', {
      request: this.request.requestId,
      route: this.plan.route.name,
      service: this.plan.service,
      workspace: this.request.workspace?.name,
      catalogue: this.catalogueVersion,
      decision: decision.kind,
      outcome,
      relays: this.relays === 0 ? undefined : this.relays,
      relayed_from: this.plan.relayedFrom,
      waited_ms: this.waited === 0 ? undefined : Math.round(this.waited),
      status: this.bufferedAnswer?.status,
      events: this.answer.eventsWritten,
      first_event_ms: this.answer.firstEventAt === undefined ? undefined : Math.round(this.answer.firstEventAt - this.plan.arrivedAt),
      longest_pause_ms: Math.round(this.answer.longestEventGap),
      objective_ms: this.plan.route.objective,
      retry_after_ms: decision.kind === 'refuse' ? decision.retryAfter : undefined,
      elapsed_ms: Math.round(elapsed),
      allowed_ms: Math.round(this.plan.deadline - this.plan.arrivedAt)
    })
  }
}
