/**
 * Identifiers of answers that are offered for rating.
 *
 * A rating comes back minutes later, to whichever instance reads it. What it has to know about the
 * answer is therefore part of the identifier: when it was given and, in a cascade, at which step
 * to which kind of request.
 */

import { ANSWER_SIGNALS, type AnswerSignal } from '#jayfall/rollout'

const SEPARATOR = '~'

/** The place of an answer in a cascade. */
export interface CascadePlace {
  readonly cascade: string
  readonly step: number
  readonly signal: AnswerSignal
  readonly kind: string
}

/** An answer that may be rated. */
export interface RatedAnswer {
  readonly requestId: string
  /** Wall-clock milliseconds. */
  readonly answeredAt: number
  readonly place?: CascadePlace
}

/** The identifier under which an answer is offered. */
export function formatOfferedId ({ requestId, answeredAt, place }: RatedAnswer): string {
  const parts = place === undefined ? [] : [place.cascade, String(place.step), place.signal, place.kind]
  return [requestId, String(Math.round(answeredAt)), ...parts].join(SEPARATOR)
}

/** What an offered identifier tells, or undefined when it has another form. */
export function parseOfferedId (id: string): RatedAnswer | undefined {
  const [requestId, time, cascade, step, signal, ...kind] = id.split(SEPARATOR)
  const answeredAt = Number(time)
  if (time === undefined || !Number.isFinite(answeredAt)) return undefined
  if (cascade === undefined) return { requestId, answeredAt }
  const known = ANSWER_SIGNALS.find(other => other === signal)
  if (known === undefined || !Number.isInteger(Number(step))) return undefined
  return { requestId, answeredAt, place: { cascade, step: Number(step), signal: known, kind: kind.join(SEPARATOR) } }
}
