/** Reports of all data threads of the instance. They are collected when an operator or a metrics scraper requests them. */

import { type MetricsSnapshot, type SpanRecord } from '#jayfall/telemetry'

import { type ControlLinkEnd, type DataMessage } from './JayfallControlLink'
import { THREAD_REPORT_TIMEOUT_MILLISECONDS } from './JayfallEntryConstants'

/** Metrics and state of one data thread. */
export interface ThreadReport {
  readonly metrics: MetricsSnapshot
  readonly openRequests: number
  readonly connections: number
  readonly revision: number
  /** Milliseconds since the catalogue was last confirmed as current. */
  readonly confirmationAge: number
  readonly readiness: string
  /** Finished spans of the requested trace. */
  readonly spans: readonly SpanRecord[]
}

/** Requests reports from the data threads over their control links. */
export class ThreadReportCollector {
  private links: readonly ControlLinkEnd[] = []
  private readonly pendingReports = new Map<number, (report: ThreadReport) => void>()
  private lastId = 0

  addLink (link: ControlLinkEnd): void {
    this.links = [...this.links, link]
  }

  /** Returns the reports of the threads that respond in time. `traceId` selects the spans in the reports. */
  async collect (traceId?: string): Promise<readonly ThreadReport[]> {
    const reports = await Promise.all(this.links.map(link => this.requestReport(link, traceId)))
    return reports.filter(report => report !== undefined)
  }

  /** Handles the report of a thread. */
  handleReport ({ id, report }: Extract<DataMessage, { kind: 'collected' }>): void {
    this.pendingReports.get(id)?.(report)
  }

  private requestReport (link: ControlLinkEnd, traceId: string | undefined): Promise<ThreadReport | undefined> {
    this.lastId++
    const id = this.lastId
    return new Promise(resolve => {
      const settle = (report?: ThreadReport): void => {
        clearTimeout(timer)
        this.pendingReports.delete(id)
        resolve(report)
      }
      const timer = setTimeout(settle, THREAD_REPORT_TIMEOUT_MILLISECONDS)
      this.pendingReports.set(id, settle)
      link.post({ kind: 'collect', id, traceId })
    })
  }
}
