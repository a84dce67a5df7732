/** A caller that records what it receives, event by event. */

import { testCallerKey } from '#jayfall/testbed'

/** What a caller asks for. */
export interface AnswerRequest {
  /** IP address and port of the instance. */
  readonly address: string
  readonly workspace: string
  readonly model: string
  readonly tokens: number
  readonly headers?: Readonly<Record<string, string>>
}

/** What a caller received. */
export interface AnswerRecord {
  /** 0 when the connection failed before the head of an answer. */
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  /** Event identifiers in the order of arrival. */
  readonly eventIds: readonly string[]
  readonly content: string
  /** Whether the answer ended with `[DONE]`, as a whole one does. */
  readonly isDone: boolean
  /** The error body, or the explicit error event. */
  readonly error?: { readonly code: string, readonly ran: string, readonly requestId: string }
  /** Whether the connection broke before the answer ended. */
  readonly isBroken: boolean
  /** Longest time between two reads, in milliseconds. */
  readonly longestGap: number
}

/** Asks for a streamed answer. */
export async function askStreamed ({ address, workspace, model, tokens, headers = {} }: AnswerRequest): Promise<AnswerRecord> {
  return await receive(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${testCallerKey(workspace)}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify({ model, stream: true, max_tokens: tokens, messages: [{ role: 'user', content: 'review the log' }] })
  })
}

/** Goes on with an answer after the events that `record` holds. */
export async function resumeStreamed (address: string, workspace: string, record: AnswerRecord): Promise<AnswerRecord> {
  const lastEventId = record.eventIds[record.eventIds.length - 1]
  const rest = await receive(`http://${address}/v1/streams/resume`, {
    headers: {
      authorization: `Bearer ${testCallerKey(workspace)}`,
      'x-jayfall-stream': record.headers['x-jayfall-stream'],
      ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId })
    }
  })
  return { ...rest, headers: record.headers, eventIds: [...record.eventIds, ...rest.eventIds], content: record.content + rest.content }
}

async function receive (url: string, options: RequestInit): Promise<AnswerRecord> {
  let response: Response
  try {
    response = await fetch(url, options)
  } catch {
    return { status: 0, headers: {}, eventIds: [], content: '', isDone: false, isBroken: true, longestGap: 0 }
  }
  const { text, isBroken, longestGap } = await readAll(response)
  return { status: response.status, headers: Object.fromEntries(response.headers), ...parseEvents(text), isBroken, longestGap }
}

async function readAll (response: Response): Promise<{ readonly text: string, readonly isBroken: boolean, readonly longestGap: number }> {
  const decoder = new TextDecoder()
  let text = ''
  let longestGap = 0
  let last = performance.now()
  try {
    for await (const chunk of response.body ?? []) {
      longestGap = Math.max(longestGap, performance.now() - last)
      last = performance.now()
      text += decoder.decode(chunk as Uint8Array, { stream: true })
    }
    return { text, isBroken: false, longestGap }
  } catch {
    return { text, isBroken: true, longestGap }
  }
}

function parseEvents (text: string): Pick<AnswerRecord, 'eventIds' | 'content' | 'isDone' | 'error'> {
  const eventIds: string[] = []
  let content = ''
  let isDone = false
  let error: AnswerRecord['error']
  if (text.startsWith('{')) error = (JSON.parse(text) as { error: AnswerRecord['error'] }).error
  // What follows the last blank line is an event that did not arrive whole.
  for (const event of text.split('\n\n').slice(0, -1)) {
    const id = /^id: (.*)$/m.exec(event)?.[1]
    const data = /^data: (.*)$/m.exec(event)?.[1] ?? ''
    if (data === '[DONE]') {
      isDone = true
    } else if (event.startsWith('event: error')) {
      error = (JSON.parse(data) as { error: AnswerRecord['error'] }).error
    } else if (id !== undefined) {
      eventIds.push(id)
      content += (JSON.parse(data) as { choices: readonly { delta: { content?: string } }[] }).choices[0]?.delta.content ?? ''
    }
  }
  return { eventIds, content, isDone, error }
}

/** What is wrong with a record: an answer that seems whole must be the whole answer to its own request. */
export function findAnswerViolations (record: AnswerRecord, tokens: number): readonly string[] {
  const streams = new Set(record.eventIds.map(id => id.slice(0, id.lastIndexOf(':'))))
  const request = record.headers['x-jayfall-request']
  const isInOrder = record.eventIds.every((id, index) => id.endsWith(`:${index}`))
  const expected = Array.from({ length: tokens }, (_, index) => `t${index} `).join('')
  const problems: string[] = []
  if (streams.size > 1) problems.push(`events of ${streams.size} streams in one answer`)
  if ([...streams].some(stream => request !== undefined && !stream.startsWith(`${request}.`))) problems.push('events of another request')
  if (!isInOrder) problems.push('a gap or a repeated event')
  if (record.isDone && record.content !== expected) problems.push(`an answer of ${record.eventIds.length} events that seems whole and is not`)
  if (record.status === 200 && !record.isDone && !record.isBroken && record.error === undefined) problems.push('an answer that ended without its last event or an error')
  return problems.map(problem => `request ${request ?? 'unknown'}: ${problem}`)
}
