/** Reports of all data threads of the instance, collected when an operator or a scraper asks. */

import { type MetricsSnapshot, type SpanRecord } from '#jayfall/telemetry'

import { type ControlLinkEnd, type DataMessage } from './JayfallControlLink'
import { REPORT_TIMEOUT_MILLISECONDS } from './JayfallEntryConstants'

/** What one data thread reports. */
export interface ThreadReport {
  readonly metrics: MetricsSnapshot
  readonly openRequests: number
  readonly connections: number
  readonly revision: number
  /** Milliseconds. */
  readonly confirmationAge: number
  readonly readiness: string
  /** Finished spans of the trace that was asked for. */
  readonly spans: readonly SpanRecord[]
}

/** Asks data threads over their control links. */
export class ThreadReports {
  private links: readonly ControlLinkEnd[] = []
  private readonly waiting = new Map<number, (report: ThreadReport) => void>()
  private lastId = 0

  attach (link: ControlLinkEnd): void {
    this.links = [...this.links, link]
  }

  /** The reports of the threads that answer in time. `traceId` selects spans. */
  async collect (traceId?: string): Promise<readonly ThreadReport[]> {
    const reports = await Promise.all(this.links.map(link => this.ask(link, traceId)))
    return reports.filter(report => report !== undefined)
  }

  /** Takes a thread's answer. */
  take ({ id, report }: Extract<DataMessage, { kind: 'collected' }>): void {
    this.waiting.get(id)?.(report)
  }

  private ask (link: ControlLinkEnd, traceId: string | undefined): Promise<ThreadReport | undefined> {
    this.lastId++
    const id = this.lastId
    return new Promise(resolve => {
      const settle = (report?: ThreadReport): void => {
        clearTimeout(timer)
        this.waiting.delete(id)
        resolve(report)
      }
      const timer = setTimeout(settle, REPORT_TIMEOUT_MILLISECONDS)
      this.waiting.set(id, settle)
      link.post({ kind: 'collect', id, traceId })
    })
  }
}
