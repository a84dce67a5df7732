/**
 * Checks a configuration before it is sent to the platform.
 *
 * The format decodes the document and reports what instances would reject. Rules run on what was decoded.
 * When the version in force is given as well, the report has a section with the differences.
 */

import { compareEntries, describeDifference } from './JayfallConfigurationDifference'
import { type ConfigurationFormat, type ConfigurationReading } from './JayfallConfigurationFormat'
import { type ConfigurationRules } from './JayfallConfigurationRules'
import { FindingReport, type Finding, type ReportSection } from './JayfallFindingReport'
import { CallerLimitRules, ServiceRules, WorkspaceRules } from './JayfallOwnerRules'
import { RouteLimitRules, RouteMatchRules, RouteTargetRules } from './JayfallRouteRules'

const RULES: readonly ConfigurationRules[] = [
  new RouteMatchRules(), new RouteTargetRules(), new RouteLimitRules(), new ServiceRules(), new WorkspaceRules(), new CallerLimitRules()
]

/** A document, and what it is called in the report. */
export interface NamedDocument {
  readonly name: string
  /** Any JSON value. */
  readonly content: unknown
}

/** @param inForce the version in force; undefined when the configuration is not to be compared. */
export function checkConfiguration (format: ConfigurationFormat, document: NamedDocument, inForce?: NamedDocument): FindingReport {
  const reading = format.read(document.content)
  const earlier = inForce === undefined ? undefined : format.read(inForce.content)
  const findings = [...reading.findings, ...applyRules(format, reading)]
  if (earlier === undefined || inForce === undefined) return new FindingReport(document.name, findings)
  return new FindingReport(document.name, [...findings, ...compareVersions(reading, earlier, inForce.name)], [...describeDifferences(reading, earlier)])
}

function * applyRules ({ instanceLimits }: ConfigurationFormat, { configuration, describePath }: ConfigurationReading): Generator<Finding> {
  if (configuration === undefined) return
  for (const rules of RULES) yield * rules.find({ configuration, instanceLimits, describePath })
}

function * compareVersions ({ configuration, describePath }: ConfigurationReading, earlier: ConfigurationReading, earlierName: string): Generator<Finding> {
  if (earlier.configuration === undefined) {
    const [{ path, message }] = earlier.findings
    yield { severity: 'error', kind: 'invalid', path: '', message: `${earlierName} is no configuration that could be in force (${path === '' ? '' : `${path}: `}${message}); nothing was compared` }
  } else if (configuration !== undefined && configuration.version <= earlier.configuration.version) {
    yield { severity: 'error', kind: 'invalid', path: describePath(['version']), message: `${configuration.version} is not higher than ${earlier.configuration.version}, the version in force; instances ignore the configuration` }
  }
}

function * describeDifferences (reading: ConfigurationReading, earlier: ConfigurationReading): Generator<ReportSection> {
  if (reading.configuration === undefined || earlier.configuration === undefined) return
  const differences = [...compareEntries(earlier.entries, reading.entries)]
  yield {
    name: 'differences',
    heading: `differences between version ${earlier.configuration.version}, in force, and ${reading.configuration.version}`,
    lines: differences.length === 0 ? ['none'] : differences.map(describeDifference),
    content: differences
  }
}
