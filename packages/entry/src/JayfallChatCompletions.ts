/** The chat completions route. */

import { createHash, randomUUID } from 'node:crypto'

import { type Request, type ResponseToolkit } from '@hapi/hapi'
import { type WorkspaceEntry } from '#jayfall/catalogue'

import { StreamedAnswerSink, WholeAnswerSink } from './JayfallAnswerSink'
import { ApiError } from './JayfallApiError'
import { authenticateCaller } from './JayfallAuthentication'
import { CascadeAnswer } from './JayfallCascadeAnswer'
import { chooseVersion, estimatePromptTokens, maximumOutputTokens, parseChatBody, type ChatBody, type ChosenVersion } from './JayfallChatRequest'
import { type DataContext } from './JayfallDataContext'
import { IDEMPOTENCY_HEADER, MAXIMUM_IDEMPOTENCY_KEY_LENGTH, ON_WITHDRAWAL_HEADER, REQUEST_HEADER, RESUMABLE_HEADER, SESSION_HEADER, SESSION_MOVED_HEADER, VERSION_HEADER } from './JayfallEntryConstants'
import { ModelAnswer, type ModelWork } from './JayfallModelAnswer'
import { computePrefixBlocks } from './JayfallPrefixBlocks'
import { headerValue, requestHop, requestState } from './JayfallRequestFields'

const BACKLOG_RETRY_MILLISECONDS = 5000

/** Answers one chat completion request. */
export async function handleChatCompletion (context: DataContext, request: Request, toolkit: ResponseToolkit): Promise<symbol> {
  const workspace = authenticateCaller(context.catalogue, headerValue(request, 'authorization'))
  const body = parseChatBody(request.payload)
  if (context.isBacklogFull()) {
    throw new ApiError('billing_backlog_full', 'no memory is left for bills until the store is back; try another instance or later', { retryAfter: BACKLOG_RETRY_MILLISECONDS })
  }
  const session = await context.parts.sessionPolicy.find(context.seal, headerValue(request, SESSION_HEADER), workspace.id, context.clock.wall())
  const chosen = chooseVersion(context, workspace, body.model, session, headerValue(request, ON_WITHDRAWAL_HEADER) === 'move')
  const work = createWork(context, request, workspace, body, chosen, session?.server)
  const response = request.raw.res
  requestState(request).workClass = work.request.workClass
  const sink = body.stream === true ? new StreamedAnswerSink(response, work.request.id) : new WholeAnswerSink(response, work.request.id)
  const isNewSession = session === undefined || session.model !== body.model || chosen.movedFrom !== undefined
  if (chosen.cascade !== undefined && isNewSession) {
    const cascade = new CascadeAnswer(context, {
      cascade: chosen.cascade,
      workspace: workspace.id,
      requestId: work.request.id,
      promptTokens: work.request.promptTokens,
      messages: body.messages.length,
      sink,
      response,
      createWork: version => {
        const step = createWork(context, request, workspace, body, { ...chosen, version }, undefined)
        return { ...step, billKey: work.billKey, headers: { ...step.headers, [REQUEST_HEADER]: work.request.id } }
      }
    })
    response.once('close', () => cascade.abandon())
    cascade.start()
    return toolkit.abandon
  }
  const answer = new ModelAnswer(context, work, sink)
  response.once('close', () => answer.abandon())
  context.book.open(work.request, answer)
  return toolkit.abandon
}

function createWork (context: DataContext, request: Request, workspace: WorkspaceEntry, body: ChatBody, { version, movedFrom }: ChosenVersion, sessionServer: string | undefined): ModelWork {
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
      prefixBlocks: computePrefixBlocks(body.messages)
    },
    version,
    payload: JSON.stringify(payload),
    model: body.model,
    isResumable: headerValue(request, RESUMABLE_HEADER) === '1',
    hop: requestHop(request),
    billKey: `${workspace.id}/${readRequestKey(request) ?? id}`,
    headers: {
      [REQUEST_HEADER]: id,
      [VERSION_HEADER]: version.id,
      ...(movedFrom === undefined ? {} : { [SESSION_MOVED_HEADER]: `${movedFrom} ${version.id}` })
    }
  }
}

/** The caller's idempotency key, checked. @throws ApiError `idempotency_key_invalid`. */
export function readRequestKey (request: Request): string | undefined {
  const key = headerValue(request, IDEMPOTENCY_HEADER)
  if (key === undefined) return undefined
  if (key.length === 0 || key.length > MAXIMUM_IDEMPOTENCY_KEY_LENGTH || !/^[\x21-\x7e]+$/.test(key)) {
    throw new ApiError('idempotency_key_invalid', `the idempotency key must have 1 to ${MAXIMUM_IDEMPOTENCY_KEY_LENGTH} visible ASCII characters`)
  }
  return key
}

/** The hash that tells whether a repeated key stands for the same body. */
export function hashBody (payload: unknown): string {
  return createHash('sha256').update(JSON.stringify(payload ?? null)).digest('hex')
}
