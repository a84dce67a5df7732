/** Output of subcommands: text for people, or JSON for scripts. */

import { type FindingReport } from '#jayfall/configuration'

import { EXIT_STATUS, toCommandError } from './JayfallCommandError'

/** Runs a subcommand. If it fails, prints the error as one line and sets the exit status. */
export async function runSubcommand (work: () => Promise<void>): Promise<void> {
  try {
    await work()
  } catch (error) {
    const failure = toCommandError(error)
    process.stderr.write(`jayfall: ${failure.message}\n`)
    process.exitCode = EXIT_STATUS[failure.code]
  }
}

/** Prints `value` as JSON if `json` is set, and the lines otherwise. */
export function printResult (json: boolean, value: unknown, lines: readonly string[]): void {
  process.stdout.write(json ? `${JSON.stringify(value, null, 2)}\n` : lines.map(line => `${line}\n`).join(''))
}

/** Prints the report of a check, and sets the exit status if the check failed. */
export function printReport (json: boolean, report: FindingReport): void {
  printResult(json, report, [...report.lines()])
  if (report.isFailed) process.exitCode = EXIT_STATUS.failed
}
