/** A stand-in of a model engine over HTTP, with streams that can be resumed and cancelled. */

import Hapi, { type Request, type ResponseToolkit, type Server } from '@hapi/hapi'
import { randomUUID } from 'node:crypto'
import { type ServerResponse } from 'node:http'

import { EngineScheduler, EngineStream, type EngineLimits } from './JayfallEngineScheduler'
import { registerEngineOrders } from './JayfallEngineOrders'
import { PrefixCache } from './JayfallPrefixCache'
import { headerValue, pathParameter, queryParameter } from './JayfallRequestFields'
import { CHARACTERS_PER_TOKEN, DEFAULT_HOST, DEFAULT_OUTPUT_TOKENS } from './JayfallStandInConstants'

export interface EngineStandInSettings extends EngineLimits {
  /** Loopback address; 127.0.0.1 by default. */
  readonly host?: string
  readonly port: number
  readonly cacheTokens: number
  readonly versions: readonly string[]
  readonly checksFencing: boolean
  /** Milliseconds by which load reports lag. */
  readonly loadLag: number
}

interface CompletionPayload {
  readonly model: string
  readonly messages: readonly { readonly role: string, readonly content: string }[]
  readonly max_tokens?: number
  readonly stream?: boolean
}

/** State of one running engine that its routes share. */
interface Engine {
  readonly scheduler: EngineScheduler
  readonly cache: PrefixCache
  readonly settings: EngineStandInSettings
  /** How often each stream identifier was started. */
  readonly started: Map<string, number>
  leaving: boolean
  /** Token events still to be written with another stream's identifier. */
  crossedEvents: number
  /** Completion requests, refused ones included. */
  received: number
}

/** Starts an engine on a loopback port. */
export async function startEngineStandIn (settings: EngineStandInSettings): Promise<Server> {
  const server = Hapi.server({ host: settings.host ?? DEFAULT_HOST, port: settings.port, routes: { payload: { maxBytes: 16 * 1024 * 1024 } } })
  const engine: Engine = {
    scheduler: new EngineScheduler(settings), cache: new PrefixCache(settings.cacheTokens), settings, started: new Map(), leaving: false, crossedEvents: 0, received: 0
  }
  server.route([
    { method: 'POST', path: '/v1/chat/completions', handler: (request, toolkit) => complete(engine, request, toolkit) },
    { method: 'GET', path: '/streams/{id}', handler: (request, toolkit) => resume(engine, request, toolkit) },
    { method: 'DELETE', path: '/streams/{id}', handler: request => cancel(engine, pathParameter(request, 'id')) },
    { method: 'GET', path: '/cache-events', handler: request => ({ events: engine.cache.eventsAfter(Number(queryParameter(request, 'after', '0'))) }) },
    { method: 'GET', path: '/received', handler: () => ({ requests: engine.received }) },
    { method: 'GET', path: '/started', handler: () => Object.fromEntries(engine.started) },
    { method: 'POST', path: '/control', handler: request => control(engine, request.payload as EngineControl) }
  ])
  registerLoadReports(server, engine)
  registerEngineOrders(server, settings.versions, settings.checksFencing, engine.cache)
  await server.start()
  return server
}

interface EngineControl {
  readonly slowdown?: number
  readonly crossedEvents?: number
  readonly leaving?: boolean
}

function control (engine: Engine, { slowdown, leaving, crossedEvents }: EngineControl): object {
  engine.crossedEvents = crossedEvents ?? engine.crossedEvents
  engine.scheduler.slowdown = slowdown ?? engine.scheduler.slowdown
  engine.leaving = leaving ?? engine.leaving
  return { slowdown: engine.scheduler.slowdown, leaving: engine.leaving }
}

function registerLoadReports (server: Server, engine: Engine): void {
  let published = engine.scheduler.load
  const timer = setInterval(() => { published = engine.scheduler.load }, Math.max(1, engine.settings.loadLag))
  server.events.on('stop', () => clearInterval(timer))
  server.route({ method: 'GET', path: '/load', handler: () => published })
}

function cancel (engine: Engine, id: string): object {
  const stream = engine.scheduler.get(id)
  if (stream !== undefined) engine.scheduler.cancel(stream)
  return { cancelled: stream !== undefined }
}

function complete (engine: Engine, request: Request, toolkit: ResponseToolkit): symbol | object {
  engine.received++
  if (engine.leaving) return toolkit.response({ error: 'leaving' }).code(503).header('x-leaving', '1')
  const payload = request.payload as CompletionPayload
  const prompt = payload.messages.map(({ content }) => content).join('\n')
  const id = headerValue(request, 'x-request-id') ?? randomUUID()
  const version = headerValue(request, 'x-model-version') ?? payload.model
  const stream = new EngineStream(id, version, Number(headerValue(request, 'x-priority') ?? 0),
    Math.ceil(prompt.length / CHARACTERS_PER_TOKEN), engine.cache.use(prompt), payload.max_tokens ?? DEFAULT_OUTPUT_TOKENS)
  engine.started.set(id, (engine.started.get(id) ?? 0) + 1)
  const response = request.raw.res
  if (payload.stream === true) writeStream(engine, stream, 0, response)
  else writeWhole(engine, stream, response)
  engine.scheduler.submit(stream)
  return toolkit.abandon
}

function resume (engine: Engine, request: Request, toolkit: ResponseToolkit): symbol | object {
  const stream = engine.scheduler.get(pathParameter(request, 'id'))
  if (stream === undefined) return toolkit.response({ error: 'unknown stream' }).code(404)
  writeStream(engine, stream, Number(queryParameter(request, 'offset', '0')), request.raw.res)
  return toolkit.abandon
}

function replyHeaders (engine: Engine, stream: EngineStream, contentType: string): Record<string, string> {
  const { active, slots, queuedTokens } = engine.scheduler.load
  return {
    'content-type': contentType,
    'x-request-id': stream.id,
    'x-load': `${active}/${slots}/${queuedTokens}`,
    ...(engine.leaving ? { 'x-leaving': '1' } : {})
  }
}

function writeStream (engine: Engine, stream: EngineStream, offset: number, response: ServerResponse): void {
  response.writeHead(200, replyHeaders(engine, stream, 'text/event-stream'))
  // The caller of the engine learns from the head that the stream was accepted.
  response.flushHeaders()
  const writeToken = (index: number): void => {
    const isCrossed = engine.crossedEvents > 0
    if (isCrossed) engine.crossedEvents--
    response.write(tokenEvent(stream, index, isCrossed ? 'another-stream' : stream.id))
  }
  const finish = (): void => {
    if (stream.state === 'finished') response.end(finalEvents(stream))
    else response.destroy()
  }
  for (let index = offset; index < stream.tokens.length; index++) writeToken(index)
  if (stream.state === 'finished' || stream.state === 'cancelled') return finish()
  stream.on('token', writeToken)
  stream.once('end', finish)
  response.once('close', () => {
    stream.off('token', writeToken)
    stream.off('end', finish)
  })
}

function writeWhole (engine: Engine, stream: EngineStream, response: ServerResponse): void {
  stream.once('end', () => {
    if (stream.state !== 'finished') return response.destroy()
    response.writeHead(200, replyHeaders(engine, stream, 'application/json'))
    response.end(JSON.stringify({
      id: stream.id,
      object: 'chat.completion',
      created: Math.floor(Date.now() / 1000),
      model: stream.version,
      choices: [{ index: 0, message: { role: 'assistant', content: stream.tokens.join('') }, finish_reason: 'stop' }],
      usage: usageOf(stream)
    }))
  })
}

function tokenEvent (stream: EngineStream, index: number, id: string): string {
  return `id: ${id}:${index}\ndata: ${chunk(stream, [{ index: 0, delta: { content: stream.tokens[index] }, finish_reason: null }])}\n\n`
}

function finalEvents (stream: EngineStream): string {
  const index = stream.tokens.length
  const final = chunk(stream, [{ index: 0, delta: {}, finish_reason: 'stop' }], usageOf(stream))
  return `id: ${stream.id}:${index}\ndata: ${final}\n\ndata: [DONE]\n\n`
}

function chunk (stream: EngineStream, choices: readonly object[], usage?: object): string {
  return JSON.stringify({ id: stream.id, object: 'chat.completion.chunk', created: 0, model: stream.version, choices, usage })
}

function usageOf (stream: EngineStream): object {
  return {
    prompt_tokens: stream.promptTokens,
    completion_tokens: stream.tokens.length,
    total_tokens: stream.promptTokens + stream.tokens.length,
    prompt_tokens_details: { cached_tokens: stream.cachedTokens }
  }
}
