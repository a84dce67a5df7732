/** The handler of `POST /v1/chat/completions`. */

import { createHash, randomUUID } from 'node:crypto'

import { type Request, type ResponseToolkit } from '@hapi/hapi'
import { type WorkspaceEntry } from '#jayfall/catalogue'

import { EventStreamResponseWriter, CompletionResponseWriter } from './JayfallResponseWriter'
import { ApiError } from './JayfallApiError'
import { authenticateCaller } from './JayfallAuthentication'
import { CascadeRequestHandler } from './JayfallCascadeRequestHandler'
import { chooseVersion, estimatePromptTokens, maximumOutputTokens, parseChatBody, type ChatBody, type VersionChoice } from './JayfallChatRequest'
import { type DataContext } from './JayfallDataContext'
import { IDEMPOTENCY_HEADER, MAXIMUM_IDEMPOTENCY_KEY_LENGTH, ON_WITHDRAWAL_HEADER, REQUEST_HEADER, RESUMABLE_HEADER, SESSION_HEADER, SESSION_MOVED_HEADER, VERSION_HEADER } from './JayfallEntryConstants'
import { ModelRequestHandler, type ModelWork } from './JayfallModelRequestHandler'
import { hashPromptPrefixes } from './JayfallPromptPrefixHashes'
import { headerValue, requestHop, requestState } from './JayfallRequestFields'

/** Delay that callers are asked to wait while the backlog of bills is full. */
const BACKLOG_RETRY_MILLISECONDS = 5000

/** Handles one chat completion request; the response is written outside hapi, as it may be an event stream. */
export async function handleChatCompletion (context: DataContext, request: Request, toolkit: ResponseToolkit): Promise<symbol> {
  const workspace = authenticateCaller(context.catalogue, headerValue(request, 'authorization'))
  const body = parseChatBody(request.payload)
  if (context.isBacklogFull()) {
    throw new ApiError('billing_backlog_full', 'no memory is left for bills until the store is back; try another instance or later', { retryAfter: BACKLOG_RETRY_MILLISECONDS })
  }
  const session = await context.components.sessionPolicy.find(context.tokenSealer, headerValue(request, SESSION_HEADER), workspace.id, context.clock.wall())
  const choice = chooseVersion(context, workspace, body.model, session, headerValue(request, ON_WITHDRAWAL_HEADER) === 'move')
  const work = createModelWork(context, request, workspace, body, choice, session?.server)
  const response = request.raw.res
  requestState(request).workClass = work.request.workClass
  const responseWriter = body.stream === true ? new EventStreamResponseWriter(response, work.request.id) : new CompletionResponseWriter(response, work.request.id)
  const isNewSession = session === undefined || session.model !== body.model || choice.movedFrom !== undefined
  if (choice.cascade !== undefined && isNewSession) {
    const cascadeHandler = new CascadeRequestHandler(context, {
      cascade: choice.cascade,
      workspace: workspace.id,
      requestId: work.request.id,
      promptTokens: work.request.promptTokens,
      messages: body.messages.length,
      responseWriter,
      response,
      createWork: version => {
        const stepWork = createModelWork(context, request, workspace, body, { ...choice, version }, undefined)
        return { ...stepWork, billKey: work.billKey, headers: { ...stepWork.headers, [REQUEST_HEADER]: work.request.id } }
      }
    })
    response.once('close', () => cascadeHandler.abandon())
    cascadeHandler.start()
    return toolkit.abandon
  }
  const handler = new ModelRequestHandler(context, work, responseWriter)
  response.once('close', () => handler.abandon())
  context.requests.submit(work.request, handler)
  return toolkit.abandon
}

function createModelWork (context: DataContext, request: Request, workspace: WorkspaceEntry, body: ChatBody, { version, movedFrom }: VersionChoice, sessionServer: string | undefined): ModelWork {
  const id = randomUUID()
  const now = context.clock.monotonic()
  const outputTokens = maximumOutputTokens(body, version)
  const payload = { ...body, model: version.id, stream: true, max_tokens: outputTokens, max_completion_tokens: undefined }
  return {
    request: {
      id,
      workspace: workspace.id,
      target: { kind: 'version', id: version.id },
      workClass: version.class,
      promptTokens: estimatePromptTokens(body),
      maximumOutputTokens: outputTokens,
      arrivedAt: now,
      deadline: now + context.requestDeadline,
      repeatable: true,
      sessionServer,
      prefixBlocks: hashPromptPrefixes(body.messages)
    },
    version,
    payload: JSON.stringify(payload),
    model: body.model,
    isResumable: headerValue(request, RESUMABLE_HEADER) === '1',
    hop: requestHop(request),
    billKey: `${workspace.id}/${readIdempotencyKey(request) ?? id}`,
    headers: {
      [REQUEST_HEADER]: id,
      [VERSION_HEADER]: version.id,
      ...(movedFrom === undefined ? {} : { [SESSION_MOVED_HEADER]: `${movedFrom} ${version.id}` })
    }
  }
}

/** Reads and validates the idempotency key of the caller. @throws ApiError `idempotency_key_invalid`. */
export function readIdempotencyKey (request: Request): string | undefined {
  const key = headerValue(request, IDEMPOTENCY_HEADER)
  if (key === undefined) return undefined
  if (key.length === 0 || key.length > MAXIMUM_IDEMPOTENCY_KEY_LENGTH || !/^[\x21-\x7e]+$/.test(key)) {
    throw new ApiError('idempotency_key_invalid', `the idempotency key must have 1 to ${MAXIMUM_IDEMPOTENCY_KEY_LENGTH} visible ASCII characters`)
  }
  return key
}

/** Hashes a request body, so that a repeated idempotency key with another body is detected. */
export function hashRequestBody (payload: unknown): string {
  return createHash('sha256').update(JSON.stringify(payload ?? null)).digest('hex')
}
