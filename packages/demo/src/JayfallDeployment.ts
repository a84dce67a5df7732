/** The two deployments that the demo runs, in small. */

import { type CatalogueEntry, type VersionEntry } from '#jayfall/catalogue'
import { testEngineService, testPlainService, testVersion, testWorkspace, type TestEntry, type TestServer } from '#jayfall/testbed'

/** What one deployment consists of and what its callers ask for. */
export interface Deployment {
  readonly name: string
  readonly entries: readonly TestEntry[]
  readonly servers: readonly TestServer[]
  readonly catalogue: readonly CatalogueEntry[]
  readonly workspace: string
  readonly model: string
  readonly prompts: readonly string[]
  readonly plainService: string
}

interface DeploymentNames {
  readonly name: string
  readonly zones: readonly [string, string]
  readonly engineService: string
  readonly plainService: string
  readonly model: string
  readonly workspace: string
  readonly prompts: readonly string[]
}

function createDeployment (names: DeploymentNames): Deployment {
  const { zones, engineService, plainService, model, workspace } = names
  const versions = createVersions(model)
  const versionIds = versions.map(({ id }) => id)
  return {
    ...names,
    entries: zones.map((zone, index) => ({ id: `${names.name}-entry-${index + 1}`, zone })),
    servers: [
      ...zones.map((zone, index): TestServer => ({ id: `${engineService}-${index + 1}`, zone, service: engineService, type: 'engine' })),
      { id: `${plainService}-1`, zone: zones[0], service: plainService, type: 'plain' }
    ],
    catalogue: [
      ...versions,
      testEngineService(engineService, versionIds),
      testPlainService(plainService),
      testWorkspace(workspace, [...versionIds, plainService])
    ]
  }
}

/** A cheap version in service and a better one that a quarter of new sessions get. */
function createVersions (model: string): readonly VersionEntry[] {
  return [
    testVersion(`${model}-1`, { model, trafficShare: 75, price: { promptPerMillionTokens: 0.5, outputPerMillionTokens: 1.5 } }),
    testVersion(`${model}-2`, { model, version: '2', state: 'rolling-out', trafficShare: 25, whenCutOff: 'stop', price: { promptPerMillionTokens: 2, outputPerMillionTokens: 6 } })
  ]
}

export const DEPLOYMENTS: readonly Deployment[] = [
  createDeployment({
    name: 'pliego-cucharas',
    zones: ['valdivia', 'osorno'],
    engineService: 'asistente-tallado',
    plainService: 'secretaria-talleres',
    model: 'guide',
    workspace: 'taller-valdivia',
    prompts: ['Review the cutting log of bench 4.', 'Draft a course guide for carving canelo.', 'Which gouge suits coigüe?', 'Review the cutting log of bench 9.']
  }),
  createDeployment({
    name: 'smritivan-reprints',
    zones: ['sabarmati', 'narmada'],
    engineService: 'jayfall-scribes',
    plainService: 'counter-desk',
    model: 'scribe',
    workspace: 'franchise-ahmedabad',
    prompts: ['Summarise the register of 1931.', 'Draft the history of plot 17.', 'Where does the path to plot 40 begin?', 'Summarise the register of 1947.']
  })
]
