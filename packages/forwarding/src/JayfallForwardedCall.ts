/** One caller's request from its arrival to its final answer. */

import { planAttempts, type AttemptPlan, type AttemptResult, type FinalDecision, type PlanContext } from './JayfallAttemptPlan'
import { AttemptRunner, PROMISING_STATUSES, type CallerRequest } from './JayfallAttemptRunner'
import { type CallerAnswer } from './JayfallCallerAnswer'
import { type ForwardingContext } from './JayfallForwardingContext'

const FAILURE_STATUS = { answer_lost: 502, timeout: 504 } as const

export class ForwardedCall {
  private readonly runner: AttemptRunner

  constructor (
    private readonly context: ForwardingContext,
    private readonly plan: PlanContext,
    private readonly request: CallerRequest,
    private readonly answer: CallerAnswer,
    private readonly catalogueVersion: number
  ) {
    this.runner = new AttemptRunner(context, plan, request, answer)
  }

  /** Runs attempts until the caller has its final answer. */
  async run (): Promise<void> {
    const attempts = planAttempts(this.plan)
    let step = attempts.next()
    while (step.done !== true) {
      const result = await this.runner.run(step.value)
      this.logAttempt(step.value, result)
      step = attempts.next(result)
    }
    this.runner.finish()
    this.finish(step.value)
    this.logEnd(step.value)
  }

  private finish (decision: FinalDecision): void {
    if (decision.kind === 'none' || this.answer.callerLeft.aborted) return
    if (decision.kind === 'deliver') return this.deliver()
    if (this.answer.hasBegun) return this.answer.cut()
    const { protocol } = this.context
    const { requestId } = this.request
    if (decision.kind === 'refuse') this.answer.sendOwn(503, protocol.encodeRefusalHeaders(requestId, decision.retryAfter), `not run: ${decision.code}\n`)
    else this.answer.sendOwn(FAILURE_STATUS[decision.code], protocol.encodeRefusalHeaders(requestId, undefined), `failed: ${decision.code}\n`)
  }

  private deliver (): void {
    const { ready } = this.runner
    // The stream's events were passed on as they came.
    if (ready === undefined) return
    // The server did run it, so a status that promises the opposite must not reach the caller.
    if (PROMISING_STATUSES.has(ready.status)) this.answer.sendOwn(FAILURE_STATUS.answer_lost, this.context.protocol.encodeRefusalHeaders(this.request.requestId, undefined), 'failed: server_failed\n')
    else this.answer.sendWhole(ready)
  }

  private logAttempt ({ number, server, model, choice, rule, resumeAfter }: AttemptPlan, result: AttemptResult): void {
    const { log, metrics, clock } = this.context
    metrics.count('jayfall_forwarding_attempts_total', { service: this.plan.service, result: result.kind })
    if (rule.known !== undefined && rule.known !== server.version) metrics.count('jayfall_forwarding_sessions_moved_total', { service: this.plan.service, reason: rule.reason })
    log.info('attempt_ended', {
      request: this.request.requestId,
      attempt: number,
      server: server.id,
      version: server.version,
      session: this.plan.session,
      session_version: rule.known,
      version_rule: rule.reason,
      version_forced: rule.prefers(server.version) ? undefined : true,
      model,
      result: result.kind,
      cause: 'cause' in result ? result.cause : undefined,
      status: 'status' in result ? result.status : undefined,
      confidence: 'confidence' in result ? result.confidence : undefined,
      minimum_confidence: Math.round(this.runner.minimumConfidence),
      resumed_after: resumeAfter,
      load: Math.round(choice.estimatedLoad * 10) / 10,
      reported_running: choice.row.report?.running,
      reported_waiting: choice.row.report?.waiting,
      reported_slowness: choice.row.report?.slowness,
      load_age_ms: Math.round(choice.reportAge),
      unread_tokens: choice.unreadTokens,
      estimated_ms: Math.round(choice.firstEvent),
      answered_ms: this.runner.answeredAfter === undefined ? undefined : Math.round(this.runner.answeredAfter),
      prompt_tokens: this.plan.fields.promptTokens,
      elapsed_ms: Math.round(clock.monotonic() - this.plan.arrivedAt)
    })
  }

  private logEnd (decision: FinalDecision): void {
    const { log, metrics, clock } = this.context
    const elapsed = clock.monotonic() - this.plan.arrivedAt
    const outcome = decision.kind === 'refuse' || decision.kind === 'fail' ? decision.code : this.answer.callerLeft.aborted ? 'caller_left' : 'delivered'
    metrics.count('jayfall_forwarding_requests_total', { route: this.plan.route.name, outcome })
    metrics.record('jayfall_forwarding_request_seconds', { route: this.plan.route.name }, elapsed)
    log.info('request_ended', {
      request: this.request.requestId,
      route: this.plan.route.name,
      service: this.plan.service,
      workspace: this.request.workspace?.name,
      catalogue: this.catalogueVersion,
      decision: decision.kind,
      outcome,
      status: this.runner.ready?.status,
      events: this.answer.eventsWritten,
      first_event_ms: this.answer.firstEventAt === undefined ? undefined : Math.round(this.answer.firstEventAt - this.plan.arrivedAt),
      longest_pause_ms: Math.round(this.answer.longestPause),
      objective_ms: this.plan.route.objective,
      retry_after_ms: decision.kind === 'refuse' ? decision.retryAfter : undefined,
      elapsed_ms: Math.round(elapsed),
      allowed_ms: Math.round(this.plan.deadline - this.plan.arrivedAt)
    })
  }
}
