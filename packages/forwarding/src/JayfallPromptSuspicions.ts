/**
 * Keeps requests that crash servers away from them, and tells the other instances.
 *
 * A suspicion names either one request by its fingerprint, so that only its repeats are refused, or a set of prompt
 * parts; requests whose prompts hold all of them are refused. Parts are suspected from the crashes of different
 * requests. Every instance decides from what it saw itself, and a few of them, the collectors, from the reports of
 * all. What one of them finds spreads as a rumor, and so does the end of a suspicion.
 *
 * A suspicion may be wrong. It ends for a request or a part as soon as any instance sees an answer to it begin. Since
 * refused requests have no answers, one is let through as a trial after a time that doubles with each crash.
 */

import { type RumorChannel, RumorTopic } from '#jayfall/peers'
import { type Clock } from '#jayfall/shared'
import { type Log, type Metrics } from '#jayfall/telemetry'
import { LRUCache } from 'lru-cache'
import * as z from 'zod'

import { CrashEvidence, isSubset, keyOf, type CrashFinding, type CrashReport } from './JayfallCrashEvidence'
import {
  CERTAIN_CRASHES_OF_REQUEST, FORGOTTEN_SUSPICION_MILLISECONDS, FIRST_TRIAL_MILLISECONDS, MAXIMUM_CRASHES_OF_TRIED_REQUEST, MAXIMUM_SUSPICIONS, MAXIMUM_TRIAL_DOUBLINGS, MAXIMUM_TRACKED_PROMPT_PARTS, MAXIMUM_TRACKED_REQUESTS, MAXIMUM_TRIAL_RANK, MINIMUM_CRASHES_OF_PROVEN_PARTS, REMINDER_INTERVAL_MILLISECONDS, SAME_NEWS_MILLISECONDS, TRIAL_RANK_DELAY_MILLISECONDS,
  TRIAL_TIMEOUT_MILLISECONDS
} from './JayfallForwardingConstants'
import { type PromptPart } from './JayfallForwardingProtocol'
import { RequestCrashes, type RequestFinding } from './JayfallRequestCrashes'
import { isFingerprint, type RequestIdentity } from './JayfallRequestIdentity'

/** Whether a request may be sent to a server. A trial may be sent once. */
export type PromptAdmission =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'trial' }
  /** @property retryAfter milliseconds until the suspicion is examined again. */
  | { readonly kind: 'refused', readonly retryAfter: number }

interface Suspicion extends CrashFinding {
  /** The shared prompt parts of a suspected request; empty where parts are suspected. */
  readonly requestParts: readonly string[]
  /** Monotonic milliseconds from which one prompt is let through. */
  readonly trialAt: number
  /** Monotonic milliseconds at which the suspicion was last told to others. */
  readonly toldAt: number
}

interface OpenAttempt {
  /** The request's fingerprint and the shared parts of its prompt. */
  readonly names: readonly string[]
  readonly onSuspected: () => void
}

export interface PromptSuspicionsParts {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  readonly rumors: RumorChannel
}

const ADMITTED: PromptAdmission = { kind: 'admitted' }
/** Key under which reports of crashes are collected. */
const COLLECTION_KEY = 'prompt-crashes'

const partsBody = z.object({ parts: z.array(z.string()).min(1) })
const suspicionBody = partsBody.extend({ requestParts: z.array(z.string()).prefault([]), crashes: z.number().int().positive(), trialIn: z.number() }).readonly()
/** `begunAge`: milliseconds since an answer to the request began at the instance. `proven`: parts that it has seen answers with. */
const crashBody = z.object({ request: z.string().refine(isFingerprint), begunAge: z.number().optional(), parts: z.array(z.string()), server: z.string(), proven: z.array(z.string()) }).readonly()
const clearanceBody = z.object({ part: z.string() }).readonly()

export class PromptSuspicions {
  private readonly requestCrashes = new RequestCrashes()
  private readonly evidence = new CrashEvidence((server, at) => this.requestCrashes.explain(server, at))
  /** Requests whose answers began here, with the time. */
  private readonly begunRequests = new LRUCache<string, number>({ max: MAXIMUM_TRACKED_REQUESTS })
  /** Suspicions by the key of their parts. */
  private readonly suspicions = new Map<string, Suspicion>()
  private readonly openAttempts = new Set<OpenAttempt>()
  /** Requests and parts that were cleared of a suspicion, with the time. */
  private readonly clearances = new LRUCache<string, number>({ max: MAXIMUM_TRACKED_PROMPT_PARTS })
  private readonly suspicionTopic = new Topic('prompt-suspected', (body, at) => this.hearSuspicion(body, at), () => this.describeSuspicions())
  private readonly clearanceTopic = new Topic('prompt-cleared', (body, at) => this.hearClearance(body, at))
  private readonly crashTopic = new Topic('prompt-crash', (body, at) => this.hearCrash(body, at))

  constructor (private readonly parts: PromptSuspicionsParts) {
    for (const topic of [this.suspicionTopic, this.clearanceTopic, this.crashTopic]) parts.rumors.subscribe(topic)
  }

  /** Decides on what has become due; called at an interval. */
  update (): void {
    const now = this.parts.clock.monotonic()
    for (const fingerprint of [...this.requestCrashes.due(now)]) this.settle(fingerprint, now)
  }

  /** Decides whether a request may be sent to a server. */
  admit (identity: RequestIdentity): PromptAdmission {
    const now = this.parts.clock.monotonic()
    this.settle(identity.fingerprint, now)
    if (this.suspicions.size === 0) return ADMITTED
    this.removeForgotten(now)
    const names = namesOf(identity)
    const matching = [...this.suspicions.values()].filter(suspicion => this.applies(suspicion, names, now))
    if (matching.length === 0) return ADMITTED
    const [suspicion] = matching
    if (matching.length === 1 && this.mayTry(suspicion, now)) {
      this.parts.log.info('prompt_tried', { parts: suspicion.parts.join(','), crashes: suspicion.crashes })
      this.tellSuspicion({ ...suspicion, trialAt: now + TRIAL_TIMEOUT_MILLISECONDS }, now)
      return { kind: 'trial' }
    }
    if (now - suspicion.toldAt >= REMINDER_INTERVAL_MILLISECONDS) this.tellSuspicion(suspicion, now)
    return { kind: 'refused', retryAfter: Math.max(0, ...matching.map(suspicion => examinedAt(suspicion) - now)) }
  }

  /**
   * Records that a request is sent to a server.
   * @param onSuspected called when the request is suspected while it is open.
   * @returns a function that records its end.
   */
  open (identity: RequestIdentity, onSuspected: () => void): () => void {
    this.evidence.recordAttempt(this.parts.clock.monotonic())
    const attempt = { names: namesOf(identity), onSuspected }
    this.openAttempts.add(attempt)
    return () => this.openAttempts.delete(attempt)
  }

  /** Records that the answer to a request has begun. */
  recordBegun ({ fingerprint, promptParts }: RequestIdentity): void {
    const now = this.parts.clock.monotonic()
    const parts = sharedPartsOf(promptParts)
    if (parts.length > 0) this.evidence.recordAnswer()
    for (const part of parts) this.evidence.recordBegun(part, now)
    this.begunRequests.set(fingerprint, now)
    for (const name of [fingerprint, ...parts]) if (this.clear(name, now)) this.tellClearance(name, now)
  }

  /** Records that a server crashed while a request waited there for the begin of its answer. */
  recordCrash ({ fingerprint, promptParts }: RequestIdentity, server: string): void {
    const parts = sharedPartsOf(promptParts)
    const { clock, rumors, metrics } = this.parts
    const now = clock.monotonic()
    metrics.count('jayfall_forwarding_prompt_crashes_total', {})
    const begunAt = this.begunRequests.get(fingerprint)
    this.addReport({ fingerprint, parts, server, at: now, isOwn: true })
    rumors.report(this.crashTopic, COLLECTION_KEY, { request: fingerprint, ...(begunAt === undefined ? {} : { begunAge: Math.round(now - begunAt) }), parts, server, proven: parts.filter(part => this.evidence.isProven(part, now)) }, now)
  }

  private addReport (report: CrashReport): void {
    const now = this.parts.clock.monotonic()
    this.requestCrashes.forget(report.fingerprint, this.begunRequests.get(report.fingerprint) ?? -Infinity)
    this.suspectRequest(this.requestCrashes.add(report, now), report.parts, now)
    this.suspectParts(report, now)
  }

  private suspectParts (report: CrashReport, now: number): void {
    for (const found of this.evidence.add(report, now)) this.suspect({ ...found, requestParts: [] }, now + firstTrialDelay(found.crashes), 'found')
  }

  /** Decides on a request that was at two crashes, if that is still open. */
  private settle (fingerprint: string, now: number): void {
    const requiredCrashes = (): number => this.evidence.requiredCrashes(other => other.fingerprint !== fingerprint, now)
    this.suspectRequest(this.requestCrashes.settle(fingerprint, requiredCrashes), this.evidence.partsOf(fingerprint), now)
  }

  private suspectRequest (finding: RequestFinding | undefined, requestParts: readonly string[], now: number): void {
    if (finding === undefined) return
    const { fingerprint, crashes, firstCrashAt } = finding
    this.suspect({ parts: [fingerprint], requestParts, crashes, firstCrashAt }, now + firstTrialDelay(crashes), 'found')
    if (crashes >= CERTAIN_CRASHES_OF_REQUEST) this.clearBystanders(fingerprint, now)
  }

  /** Ends suspicions against requests that were at the same servers as one that is certain to have crashed them. */
  private clearBystanders (fingerprint: string, now: number): void {
    for (const bystander of [...this.requestCrashes.explainedBy(fingerprint)]) {
      if (this.clear(bystander, now)) this.tellClearance(bystander, now)
    }
  }

  /** @returns whether the suspicion was new, or has changed. */
  private suspect (finding: Pick<Suspicion, keyof CrashFinding | 'requestParts'>, trialAt: number, origin: 'found' | 'told'): boolean {
    const now = this.parts.clock.monotonic()
    const key = keyOf(finding.parts)
    const known = this.suspicions.get(key)
    if (known !== undefined && known.crashes >= finding.crashes && known.trialAt + SAME_NEWS_MILLISECONDS >= trialAt) return false
    const others = [...this.suspicions.values()].filter(other => keyOf(other.parts) !== key)
    if (others.some(other => other.parts.length < finding.parts.length && isSubset(other.parts, finding.parts))) return false
    for (const other of others) {
      if (isSubset(finding.parts, other.parts)) this.suspicions.delete(keyOf(other.parts))
    }
    this.removeForgotten(now)
    const [oldest] = this.suspicions.keys()
    if (known === undefined && this.suspicions.size >= MAXIMUM_SUSPICIONS) this.suspicions.delete(oldest)
    const suspicion = { ...finding, crashes: Math.max(finding.crashes, known?.crashes ?? 0), firstCrashAt: Math.min(finding.firstCrashAt, known?.firstCrashAt ?? Infinity), trialAt: Math.max(trialAt, known?.trialAt ?? -Infinity), toldAt: now }
    this.suspicions.set(key, suspicion)
    this.parts.log.warn('prompt_suspected', { parts: suspicion.parts.join(','), crashes: suspicion.crashes, origin, trial_in_ms: Math.round(suspicion.trialAt - now) })
    if (origin === 'found') this.tellSuspicion(suspicion, now)
    for (const attempt of [...this.openAttempts]) {
      if (known === undefined && this.applies(suspicion, attempt.names, now)) attempt.onSuspected()
    }
    return true
  }

  /**
   * Whether a request with these names is refused. Parts that this instance has seen answers with are not held against
   * it, unless nothing else is left of the suspicion.
   */
  private applies ({ parts, crashes }: Suspicion, names: readonly string[], now: number): boolean {
    const unproven = parts.filter(part => !this.evidence.isProven(part, now))
    return unproven.length > 0 ? isSubset(unproven, names) : crashes >= MINIMUM_CRASHES_OF_PROVEN_PARTS && isSubset(parts, names)
  }

  /**
   * The first instance in the ranking for the suspicion tries first; the next ones follow when it does not. A single
   * request may never come to one of the first instances, so all others follow after them.
   */
  private mayTry (suspicion: Suspicion, now: number): boolean {
    const { parts, trialAt } = suspicion
    if (now < trialAt || !isTried(suspicion)) return false
    const rank = this.parts.rumors.rankFor(keyOf(parts))
    if (rank > MAXIMUM_TRIAL_RANK && !parts.some(isFingerprint)) return false
    return now >= trialAt + Math.min(rank, MAXIMUM_TRIAL_RANK + 1) * TRIAL_RANK_DELAY_MILLISECONDS
  }

  /** Ends all suspicions against a request or a part that are older than an answer to it. @returns whether there was one. */
  private clear (part: string, at: number): boolean {
    let hasCleared = false
    if (isFingerprint(part)) this.requestCrashes.forget(part, at)
    for (const [key, suspicion] of [...this.suspicions]) {
      if (!suspicion.parts.includes(part) || suspicion.firstCrashAt >= at) continue
      hasCleared = true
      this.suspicions.delete(key)
      const parts = suspicion.parts.filter(other => other !== part)
      this.parts.log.warn('prompt_part_cleared', { part, remaining: parts.join(','), crashes: suspicion.crashes })
      if (parts.length > 0) this.suspicions.set(keyOf(parts), { ...suspicion, parts })
    }
    return hasCleared
  }

  private removeForgotten (now: number): void {
    for (const [key, { trialAt }] of this.suspicions) if (now - trialAt > FORGOTTEN_SUSPICION_MILLISECONDS) this.suspicions.delete(key)
  }

  private tellSuspicion (suspicion: Suspicion, now: number): void {
    this.suspicions.set(keyOf(suspicion.parts), { ...suspicion, toldAt: now })
    this.parts.rumors.tell(this.suspicionTopic, toBody(suspicion, now), suspicion.firstCrashAt)
  }

  private tellClearance (part: string, at: number): void {
    this.clearances.set(part, at)
    this.parts.rumors.tell(this.clearanceTopic, { part }, at)
  }

  private * describeSuspicions (): Generator<{ readonly body: unknown, readonly happenedAt: number }> {
    const now = this.parts.clock.monotonic()
    for (const suspicion of this.suspicions.values()) yield { body: toBody(suspicion, now), happenedAt: suspicion.firstCrashAt }
  }

  private hearSuspicion (body: unknown, firstCrashAt: number): boolean {
    const { data } = suspicionBody.safeParse(body)
    if (data === undefined) return false
    const begun = data.parts.filter(part => isFingerprint(part) ? (this.begunRequests.get(part) ?? -Infinity) > firstCrashAt : this.evidence.hasBegunSince(part, firstCrashAt))
    // The instance that told the suspicion does not know of these answers.
    for (const part of begun) {
      if ((this.clearances.get(part) ?? -Infinity) <= firstCrashAt) this.tellClearance(part, this.parts.clock.monotonic())
    }
    const parts = data.parts.filter(part => !begun.includes(part))
    const { requestParts, crashes, trialIn } = data
    const now = this.parts.clock.monotonic()
    // The collectors may have lost what they knew. What all instances hear of several requests tells them the parts that these share.
    const [fingerprint] = parts
    if (requestParts.length > 0 && parts.length === 1 && isFingerprint(fingerprint)) this.suspectParts({ fingerprint, parts: requestParts, server: fingerprint, at: firstCrashAt, isOwn: false }, now)
    return parts.length > 0 && this.suspect({ parts, requestParts, crashes, firstCrashAt }, now + trialIn, 'told') && begun.length === 0
  }

  private hearClearance (body: unknown, at: number): boolean {
    const { data } = clearanceBody.safeParse(body)
    if (data === undefined) return false
    if (!isFingerprint(data.part)) this.evidence.recordBegun(data.part, at)
    const hasCleared = this.clear(data.part, at)
    const isNew = hasCleared || at > (this.clearances.get(data.part) ?? -Infinity) + FORGOTTEN_SUSPICION_MILLISECONDS
    if (isNew) this.clearances.set(data.part, at)
    return isNew
  }

  /** Reports go to collectors only, so they are not passed on. */
  private hearCrash (body: unknown, at: number): boolean {
    const { data } = crashBody.safeParse(body)
    if (data === undefined) return false
    const { request, begunAge = Infinity, parts, server, proven } = data
    this.requestCrashes.forget(request, at - begunAge)
    for (const part of proven) this.evidence.recordProven(part, at)
    this.addReport({ fingerprint: request, parts, server, at, isOwn: false })
    return false
  }
}

class Topic extends RumorTopic {
  constructor (override readonly name: string, private readonly onNews: (body: unknown, happenedAt: number) => boolean, private readonly describe: () => Generator<{ readonly body: unknown, readonly happenedAt: number }> = function * () {}) {
    super()
  }

  override hear (body: unknown, happenedAt: number): boolean {
    return this.onNews(body, happenedAt)
  }

  override * current (): Generator<{ readonly body: unknown, readonly happenedAt: number }> {
    yield * this.describe()
  }
}

function toBody ({ parts, requestParts, crashes, trialAt }: Suspicion, now: number): z.infer<typeof suspicionBody> {
  return { parts: [...parts], requestParts: [...requestParts], crashes, trialIn: Math.round(trialAt - now) }
}

function firstTrialDelay (crashes: number): number {
  return FIRST_TRIAL_MILLISECONDS * 2 ** Math.min(MAXIMUM_TRIAL_DOUBLINGS, crashes - 2)
}

/** Whether the suspicion is examined by trials at all. */
function isTried ({ parts, crashes }: Suspicion): boolean {
  return crashes < MAXIMUM_CRASHES_OF_TRIED_REQUEST || !parts.some(isFingerprint)
}

/** Monotonic milliseconds at which a request of the suspicion may be let through. */
function examinedAt (suspicion: Suspicion): number {
  return suspicion.trialAt + (isTried(suspicion) ? 0 : FORGOTTEN_SUSPICION_MILLISECONDS)
}

/** What suspicions may name of a request. */
function namesOf ({ fingerprint, promptParts }: RequestIdentity): readonly string[] {
  return [fingerprint, ...sharedPartsOf(promptParts)]
}

/** The parts of a prompt that other prompts may hold too; the last one belongs to the request or its session. */
function sharedPartsOf (promptParts: readonly PromptPart[]): readonly string[] {
  return [...new Set(promptParts.slice(0, -1).map(({ id }) => id))]
}
