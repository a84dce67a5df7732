/**
 * Findings of a check, and their report: lines for people, a document for scripts, and whether the check failed.
 *
 * A report knows nothing of what was checked, so that every command that checks a file reports in the same way.
 */

/** An error fails the check. A warning is a fault that instances tolerate. */
export type FindingSeverity = 'error' | 'warning'

export type FindingKind = 'invalid' | 'never-matches' | 'contradiction' | 'not-read'

export interface Finding {
  readonly severity: FindingSeverity
  readonly kind: FindingKind
  /** Where the finding is, as written in the file, such as `routes[3].prefix`; empty for the whole file. */
  readonly path: string
  readonly message: string
}

/** A further part of a report, which does not affect whether the check failed. */
export interface ReportSection {
  /** Name of the part in the JSON document. */
  readonly name: string
  readonly heading: string
  readonly lines: readonly string[]
  /** Content of the part in the JSON document. */
  readonly content: unknown
}

/** Headings in the order of the report. */
const HEADINGS: ReadonlyMap<FindingKind, string> = new Map([
  ['invalid', 'rejected, ignored or not servable'],
  ['never-matches', 'can never match'],
  ['contradiction', 'contradictory limits'],
  ['not-read', 'not read by instances']
])

/** Width of the longest severity. */
const SEVERITY_WIDTH = 'warning'.length

export class FindingReport {
  readonly errors: number
  readonly warnings: number

  /** @param subject what was checked, such as the name of a file. */
  constructor (readonly subject: string, readonly findings: readonly Finding[], private readonly sections: readonly ReportSection[] = []) {
    this.errors = findings.filter(({ severity }) => severity === 'error').length
    this.warnings = findings.length - this.errors
  }

  get isFailed (): boolean {
    return this.errors > 0
  }

  /** Returns lines for people: the findings by kind, errors first, then the other sections and the totals. */
  * lines (): Generator<string> {
    for (const [kind, heading] of HEADINGS) {
      const found = this.findings.filter(finding => finding.kind === kind)
      if (found.length === 0) continue
      yield `${heading}:`
      for (const severity of ['error', 'warning'] as const) {
        for (const finding of found) if (finding.severity === severity) yield `  ${describeFinding(finding)}`
      }
    }
    for (const { heading, lines } of this.sections) {
      yield `${heading}:`
      for (const line of lines) yield `  ${line}`
    }
    yield `${this.subject}: ${count(this.errors, 'error')}, ${count(this.warnings, 'warning')}`
  }

  /** Returns the document for scripts. */
  toJSON (): object {
    const { subject, errors, warnings, findings } = this
    return { file: subject, errors, warnings, findings, ...Object.fromEntries(this.sections.map(({ name, content }) => [name, content])) }
  }
}

/** Returns a value from a file as JSON, without control characters that would reach a terminal. */
export function quote (value: unknown): string {
  return JSON.stringify(value).replace(/[\u007f-\u009f]/g, character => `\\u00${character.charCodeAt(0).toString(16)}`)
}

function describeFinding ({ severity, path, message }: Finding): string {
  return `${severity.padEnd(SEVERITY_WIDTH)} ${path === '' ? '' : `${path}: `}${message}`
}

function count (number: number, noun: string): string {
  return `${number} ${noun}${number === 1 ? '' : 's'}`
}
