/**
 * Identifiers of responses that are offered for rating.
 *
 * A rating arrives minutes later, and any instance may read it. The identifier therefore contains everything that the
 * reader needs to know about the response: its time and, for a cascade, its step, signal and kind of request.
 */

import { ANSWER_SIGNALS, type AnswerSignal } from '#jayfall/rollout'

const SEPARATOR = '~'

/** The position of a response in a cascade. */
export interface CascadePosition {
  readonly cascade: string
  readonly step: number
  readonly signal: AnswerSignal
  /** Kind of request; see `requestKind`. */
  readonly kind: string
}

/** A response that is offered for rating. */
export interface OfferedResponse {
  readonly requestId: string
  /** Wall-clock milliseconds. */
  readonly answeredAt: number
  readonly place?: CascadePosition
}

/** Formats the identifier under which a response is offered. */
export function formatOfferedId ({ requestId, answeredAt, place }: OfferedResponse): string {
  const parts = place === undefined ? [] : [place.cascade, String(place.step), place.signal, place.kind]
  return [requestId, String(Math.round(answeredAt)), ...parts].join(SEPARATOR)
}

/** Parses an identifier; undefined when it has another format. */
export function parseOfferedId (id: string): OfferedResponse | undefined {
  const [requestId, time, cascade, step, signal, ...kind] = id.split(SEPARATOR)
  const answeredAt = Number(time)
  if (time === undefined || !Number.isFinite(answeredAt)) return undefined
  if (cascade === undefined) return { requestId, answeredAt }
  const knownSignal = ANSWER_SIGNALS.find(other => other === signal)
  if (knownSignal === undefined || !Number.isInteger(Number(step))) return undefined
  return { requestId, answeredAt, place: { cascade, step: Number(step), signal: knownSignal, kind: kind.join(SEPARATOR) } }
}
