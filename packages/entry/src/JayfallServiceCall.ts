/**
 * The handlers of the routes for plain services, which are backend services other than engines.
 *
 * A call that may not be repeated is claimed in the store under its idempotency key before it is sent, so that no other
 * attempt with the same key sends it again.
 */

import { randomUUID } from 'node:crypto'

import { type Request, type ResponseObject, type ResponseToolkit } from '@hapi/hapi'
import { type ServiceCall, type ServiceEntry, type WorkspaceEntry } from '#jayfall/catalogue'
import { type CallClaim, type CallOutcome, type CallRow } from '#jayfall/ledger'
import { type RoutedRequest, type RoutingDecision } from '#jayfall/routing'
import { type Hop } from '#jayfall/telemetry'

import { ApiError } from './JayfallApiError'
import { authenticateCaller } from './JayfallAuthentication'
import { BackendError, isBackendError } from './JayfallBackendError'
import { hashRequestBody, readIdempotencyKey } from './JayfallChatCompletions'
import { ControlCallError } from './JayfallControlCalls'
import { type DataContext } from './JayfallDataContext'
import { ATTEMPTS_METRIC, REPLAYED_HEADER, REQUEST_HEADER, TRACE_HEADER } from './JayfallEntryConstants'
import { refusalMessage } from './JayfallRefusalMessage'
import { type RoutingDecisionHandler } from './JayfallRequestDispatcher'
import { headerValue, pathParameter, requestHop, requestState } from './JayfallRequestFields'

/** Delay after which another query for an outcome may succeed. */
const OUTCOME_RETRY_MILLISECONDS = 1000

type DispatchDecision = Extract<RoutingDecision, { kind: 'dispatch' }>

/** A call of a plain service: its properties for the router, and what is needed to send and trace it. */
interface ServiceCallWork {
  readonly request: RoutedRequest
  readonly method: string
  readonly call: ServiceCall
  readonly payload: string
  readonly hop: Hop
}

/** Handles one call of a plain service. */
export async function handleServiceCall (context: DataContext, request: Request, toolkit: ResponseToolkit): Promise<ResponseObject> {
  const workspace = authenticateCaller(context.catalogue, headerValue(request, 'authorization'))
  const { service, call } = findCall(context, workspace, pathParameter(request, 'service'), pathParameter(request, 'call'))
  const key = readIdempotencyKey(request)
  const work = createServiceCallWork(context, request, workspace, service, call)
  requestState(request).workClass = work.request.workClass
  if (call.repeatable) return toResponse(toolkit, work.request.id, await sendThroughRouter(context, work))
  if (key === undefined) throw new ApiError('idempotency_key_required', `${call.name} may not be repeated; send an Idempotency-Key header`)
  return await claimAndSend(context, toolkit, work, {
    workspace: workspace.id,
    key,
    attempt: randomUUID(),
    requestId: work.request.id,
    instance: context.instanceId,
    bodyHash: hashRequestBody([request.method, service.id, call.name, request.payload]),
    service: service.id,
    call: call.name,
    price: call.price,
    claimedAt: context.clock.wall()
  })
}

/** Handles a query for the state and outcome of a call that was made with an idempotency key. */
export async function handleOutcomeQuery (context: DataContext, request: Request, toolkit: ResponseToolkit): Promise<ResponseObject> {
  const workspace = authenticateCaller(context.catalogue, headerValue(request, 'authorization'))
  const key = pathParameter(request, 'key')
  const row = await requestHop(request).measure('store find', () => context.control.call('find', { workspace: workspace.id, key })).catch(throwStoreUnavailable)
  if (row === undefined) throw new ApiError('request_unknown', 'no call with this key is recorded')
  return toolkit.response({ key, state: row.state, ...(row.state === 'done' ? { outcome: row.outcome } : {}) })
}

function findCall (context: DataContext, workspace: WorkspaceEntry, serviceId: string, callName: string): { readonly service: ServiceEntry, readonly call: ServiceCall } {
  const service = context.catalogue.get('service', serviceId)
  if (service === undefined || service.type !== 'plain') throw new ApiError('service_unknown', `there is no service ${serviceId}`)
  if (!workspace.allowed.includes(serviceId)) throw new ApiError('service_forbidden', `the workspace may not use ${serviceId}`)
  const call = service.calls.find(({ name }) => name === callName)
  if (call === undefined) throw new ApiError('service_unknown', `${serviceId} has no call ${callName}`)
  return { service, call }
}

function createServiceCallWork (context: DataContext, request: Request, workspace: WorkspaceEntry, service: ServiceEntry, call: ServiceCall): ServiceCallWork {
  const now = context.clock.monotonic()
  return {
    request: {
      id: randomUUID(),
      workspace: workspace.id,
      target: { kind: 'service', id: service.id },
      workClass: 'short',
      promptTokens: 0,
      maximumOutputTokens: 1,
      arrivedAt: now,
      deadline: now + context.requestDeadline,
      repeatable: call.repeatable,
      prefixBlocks: []
    },
    method: request.method.toUpperCase(),
    call,
    payload: JSON.stringify(request.payload ?? null),
    hop: requestHop(request)
  }
}

/** Sends a call that may not be repeated, unless its key has already been claimed, and records its outcome. */
async function claimAndSend (context: DataContext, toolkit: ResponseToolkit, work: ServiceCallWork, claim: CallClaim): Promise<ResponseObject> {
  const result = await work.hop.measure('store claim', () => context.control.call('claim', claim)).catch(throwStoreUnavailable)
  if (result.kind === 'present') return respondFromRow(toolkit, work.request.id, claim, result.row)
  const { revision } = result
  try {
    const outcome = await sendThroughRouter(context, work)
    const completion = await work.hop.measure('store complete', () => context.control.call('complete', { claim, revision, outcome }))
    if (completion === 'deferred') context.log.warn('outcome_deferred', { request: claim.requestId, workspace: claim.workspace })
    return toResponse(toolkit, work.request.id, outcome)
  } catch (error) {
    if (error instanceof ApiError && error.ran === 'no') {
      context.control.call('withdraw', { claim, revision }).catch((cause: Error) => context.log.warn('withdraw_failed', { request: claim.requestId, message: cause.message }))
      throw error
    }
    throw new ApiError('outcome_unknown', 'the call was sent and its outcome is not known yet', { ran: 'unknown', retryAfter: OUTCOME_RETRY_MILLISECONDS, ask: outcomePath(claim), requestId: claim.requestId }, error)
  }
}

/** Responds to a repeated call from the recorded row of the earlier attempt. */
function respondFromRow (toolkit: ResponseToolkit, requestId: string, claim: CallClaim, row: CallRow): ResponseObject {
  if (row.state === 'done') return toResponse(toolkit, requestId, row.outcome).header(REPLAYED_HEADER, '1')
  if (row.state === 'unknown') {
    throw new ApiError('outcome_unknown', 'the outcome of an earlier attempt with this key cannot be found out; operators have been told', { ran: 'unknown', ask: outcomePath(claim) })
  }
  throw new ApiError('outcome_unknown', 'an earlier attempt with this key has no recorded outcome yet', { ran: 'unknown', retryAfter: OUTCOME_RETRY_MILLISECONDS, ask: outcomePath(claim) })
}

function outcomePath (claim: CallClaim): string {
  return `/v1/requests/${encodeURIComponent(claim.key)}`
}

function toResponse (toolkit: ResponseToolkit, requestId: string, outcome: CallOutcome): ResponseObject {
  return toolkit.response(outcome.body).code(outcome.status).type(outcome.contentType).header(REQUEST_HEADER, requestId)
}

function throwStoreUnavailable (error: unknown): never {
  if (error instanceof ControlCallError && error.code === 'key_reused') {
    throw new ApiError('idempotency_key_reused', 'the idempotency key was used for another call or body', {}, error)
  }
  throw new ApiError('store_unavailable',
    'this attempt was not sent, as the store is out of reach; whether an earlier attempt with the same key ran is not known', { ran: 'unknown', retryAfter: 2000 }, error)
}

/** Submits a call to the router, and resolves with its outcome. */
function sendThroughRouter (context: DataContext, work: ServiceCallWork): Promise<CallOutcome> {
  return new Promise((resolve, reject) => {
    context.requests.submit(work.request, new ServiceCallHandler(context, work, resolve, reject))
  })
}

/** Executes the router's decisions about one call of a plain service. */
class ServiceCallHandler implements RoutingDecisionHandler {
  /** Covers the time until the first attempt is dispatched. */
  private readonly queueHop: Hop
  private lastError: BackendError | undefined
  /** Whether an attempt may have reached a backend server. */
  private mayHaveRun = false

  constructor (
    private readonly context: DataContext,
    private readonly work: ServiceCallWork,
    private readonly resolve: (outcome: CallOutcome) => void,
    private readonly reject: (error: ApiError) => void
  ) {
    this.queueHop = work.hop.startHop('queue')
  }

  dispatch (decision: DispatchDecision): void {
    this.queueHop.end()
    this.work.hop.measure('attempt', () => this.send(decision)).then(outcome => this.finish(decision, outcome), (error: unknown) => this.fail(decision, error))
  }

  cancel (): void {}

  interrupt (): void {
    this.context.requests.close(this.work.request.id)
    this.reject(new ApiError('instance_stopping', 'the instance stops before the call was answered', { ran: 'unknown' }))
  }

  refuse ({ code, retryAfter }: Extract<RoutingDecision, { kind: 'refuse' }>): void {
    this.queueHop.end({}, code)
    this.context.requests.close(this.work.request.id)
    this.reject(new ApiError(code, refusalMessage(code), { ran: this.mayHaveRun ? 'unknown' : 'no', retryAfter, requestId: this.work.request.id }, this.lastError))
  }

  private async send (decision: DispatchDecision): Promise<CallOutcome> {
    const { request, call, method, payload } = this.work
    const server = this.context.catalogue.get('server', decision.server)
    if (server === undefined) throw new BackendError('unsent', `${decision.server} is no longer in the catalogue`)
    const timeout = request.deadline - this.context.clock.monotonic()
    const response = await this.context.backend.send({
      method,
      address: server.address,
      path: `/calls/${encodeURIComponent(call.name)}`,
      headers: { 'content-type': 'application/json', 'x-request-id': request.id, [TRACE_HEADER]: this.work.hop.traceparent },
      payload: method === 'GET' ? undefined : payload,
      headersTimeout: timeout,
      hasOwnConnection: !call.repeatable
    })
    if (response.headers['x-request-id'] !== request.id) throw new BackendError('broken', 'the answer belongs to another request')
    const body = await this.context.backend.read(response, timeout)
    return { status: response.statusCode ?? 0, contentType: response.headers['content-type'] ?? 'application/json', body: body.toString() }
  }

  private finish (decision: DispatchDecision, outcome: CallOutcome): void {
    this.context.metrics.count(ATTEMPTS_METRIC, { result: 'finished' })
    this.context.requests.observe({ kind: 'finished', requestId: this.work.request.id, attempt: decision.attempt, outputTokens: 1 })
    this.context.requests.close(this.work.request.id)
    this.resolve(outcome)
  }

  private fail (decision: DispatchDecision, error: unknown): void {
    const failure = isBackendError(error) ? error : new BackendError('broken', 'the call failed', error)
    this.lastError = failure
    this.context.metrics.count(ATTEMPTS_METRIC, { result: failure.failure })
    this.mayHaveRun = this.mayHaveRun || failure.failure !== 'unsent'
    const retryable = this.work.call.repeatable || failure.failure === 'unsent'
    this.context.requests.observe({ kind: 'failed', requestId: this.work.request.id, attempt: decision.attempt, failure: failure.failure, retryable })
  }
}
