/** Validation of the body of a chat completion request, and the choice of the version that handles it. */

import { chooseByTrafficShare, findAllowedVersions, type CascadeEntry, type VersionEntry, type WorkspaceEntry } from '#jayfall/catalogue'
import * as z from 'zod'

import { ApiError, type ApiErrorCode, type ExecutionState } from './JayfallApiError'
import { type DataContext, findCurrentRefusal } from './JayfallDataContext'
import { CHARACTERS_PER_TOKEN, DEFAULT_MAXIMUM_OUTPUT_TOKENS } from './JayfallEntryConstants'
import { type SessionToken } from './JayfallTokenSealer'

const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish()
})

/** A validated body; fields that the router does not know are forwarded to the engine. */
export type ChatBody = z.infer<typeof chatSchema>

/** Validates a body. @throws ApiError `body_malformed`, whose message names the invalid fields. */
export function parseChatBody (payload: unknown): ChatBody {
  const result = chatSchema.safeParse(payload)
  if (result.success) return result.data
  const problems = result.error.issues.map(issue => `${issue.path.join('.') || 'body'} ${issue.message}`)
  throw new ApiError('body_malformed', `the body is not a chat completion request (${problems.join('; ')})`)
}

/** Estimates the number of tokens of all messages. */
export function estimatePromptTokens (body: ChatBody): number {
  const characters = body.messages.reduce((sum, { content }) => sum + (typeof content === 'string' ? content.length : JSON.stringify(content ?? '').length), 0)
  return Math.ceil(characters / CHARACTERS_PER_TOKEN)
}

/** The limit on output tokens that the caller requested, bounded by the version's own limit. */
export function maximumOutputTokens (body: ChatBody, version: VersionEntry): number {
  const requestedTokens = body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAXIMUM_OUTPUT_TOKENS
  return Math.min(requestedTokens, version.limits.maximumOutputTokens)
}

/** The version that handles a request. `movedFrom` is the previous version of a session that was moved. */
export interface VersionChoice {
  readonly version: VersionEntry
  readonly cascade?: CascadeEntry
  readonly movedFrom?: string
}

/**
 * Chooses the version of the session, if there is one; otherwise a version by the traffic shares of the model, or the
 * first usable step of the cascade.
 * @throws ApiError when the model is unknown or forbidden, or the version of the session was withdrawn.
 */
export function chooseVersion (context: DataContext, workspace: WorkspaceEntry, model: string, session: SessionToken | undefined, mayMoveSession: boolean): VersionChoice {
  if (session === undefined || session.model !== model) return chooseNewVersion(context, workspace, model)
  const refusal = findCurrentRefusal(context, workspace.id, session.version)
  const version = context.catalogue.get('version', session.version)
  if (refusal === undefined && version !== undefined) return { version, cascade: context.catalogue.get('cascade', model) }
  if (mayMoveSession) return { ...chooseNewVersion(context, workspace, model), movedFrom: session.version }
  if (refusal === 'version_unconfirmed' || refusal === 'version_forbidden') throw createRefusalError(refusal, session.version)
  throw new ApiError('session_version_withdrawn',
    `version ${session.version} of this session was withdrawn; start a new session, or send x-jayfall-on-withdrawal: move`)
}

function chooseNewVersion (context: DataContext, workspace: WorkspaceEntry, model: string): VersionChoice {
  const cascade = context.catalogue.get('cascade', model)
  if (cascade !== undefined && workspace.allowed.includes(model)) {
    const step = cascade.steps.find(id => findCurrentRefusal(context, workspace.id, id) === undefined)
    const version = step === undefined ? undefined : context.catalogue.get('version', step)
    if (version !== undefined) return { version, cascade }
    throw new ApiError('no_server', `no step of ${model} may run now`, { retryAfter: 1000 })
  }
  const exactVersion = context.catalogue.get('version', model)
  if (exactVersion !== undefined) return { version: assertUsable(context, workspace, exactVersion) }
  const allowed = findAllowedVersions(context.catalogue, workspace, model)
  const usable = allowed.filter(version => findCurrentRefusal(context, workspace.id, version.id) === undefined)
  const version = chooseByTrafficShare(usable, context.random.uniform())
  if (version !== undefined) return { version }
  if (allowed.length > 0) throw createRefusalError('version_unconfirmed', model)
  const exists = cascade !== undefined || context.catalogue.all('version').some(other => other.model === model)
  throw exists ? createRefusalError('version_forbidden', model) : new ApiError('model_unknown', `there is no model ${model}`)
}

function assertUsable (context: DataContext, workspace: WorkspaceEntry, version: VersionEntry): VersionEntry {
  const refusal = findCurrentRefusal(context, workspace.id, version.id)
  if (refusal !== undefined) throw createRefusalError(refusal, version.id)
  return version
}

/** Creates the error for a version that may not start new work. */
export function createRefusalError (refusal: string, version: string, ran: ExecutionState = 'no'): ApiError {
  const codes: Readonly<Record<string, ApiErrorCode>> = {
    version_unknown: 'model_unknown',
    version_forbidden: 'version_forbidden',
    version_withdrawn: 'model_unknown',
    version_unconfirmed: 'version_unconfirmed'
  }
  const messages: Readonly<Record<string, string>> = {
    version_unknown: `there is no model ${version}`,
    version_forbidden: `the workspace may not use ${version}`,
    version_withdrawn: `${version} was withdrawn`,
    version_unconfirmed: `this instance cannot confirm that ${version} may still be used; try another instance`
  }
  return new ApiError(codes[refusal] ?? 'internal', messages[refusal] ?? refusal, { ran, ...(refusal === 'version_unconfirmed' ? { retryAfter: 2000 } : {}) })
}
