/** Runs both deployments in small and prints what was served, by which version, at what cost, and what was billed. */

import OpenAI from 'openai'

import { type VersionEntry } from '#jayfall/catalogue'
import { readLedger } from '#jayfall/ledger'
import { HttpObjectStore, HttpTableStore, PlatformHttp } from '#jayfall/store'
import { TestSystem, testCallerKey } from '#jayfall/testbed'

import { DEPLOYMENTS, type Deployment } from './JayfallDeployment'

const ANSWER_TOKENS = 24

function write (line: string): void {
  process.stdout.write(`${line}\n`)
}

async function runDeployment (deployment: Deployment): Promise<void> {
  write(`\n== ${deployment.name}: ${deployment.entries.length} entry instances in zones ${deployment.entries.map(({ zone }) => zone).join(', ')}; ${deployment.servers.length} backend servers`)
  const system = await TestSystem.start(deployment)
  try {
    for (const [index, prompt] of deployment.prompts.entries()) {
      const entry = deployment.entries[index % deployment.entries.length].id
      await askModel(system, deployment, entry, prompt, index % 2 === 0)
    }
    await callTwice(system, deployment)
    for (const { id } of deployment.entries) write(`stopped ${id}: exit status ${await system.entryProcess(id).stop()}`)
    await printBills(system)
  } finally {
    await system.stop()
  }
}

async function askModel (system: TestSystem, deployment: Deployment, entry: string, prompt: string, isStreamed: boolean): Promise<void> {
  const client = new OpenAI({ baseURL: `http://${system.callersAddress(entry)}/v1`, apiKey: testCallerKey(deployment.workspace), maxRetries: 0 })
  const body = { model: deployment.model, messages: [{ role: 'user' as const, content: prompt }], max_tokens: ANSWER_TOKENS }
  const startedAt = performance.now()
  let promptTokens = 0
  let outputTokens = 0
  let versionId: string | null
  if (isStreamed) {
    const { data, response } = await client.chat.completions.create({ ...body, stream: true }).withResponse()
    versionId = response.headers.get('x-jayfall-version')
    for await (const { usage } of data) {
      promptTokens = usage?.prompt_tokens ?? promptTokens
      outputTokens = usage?.completion_tokens ?? outputTokens
    }
  } else {
    const { data, response } = await client.chat.completions.create(body).withResponse()
    versionId = response.headers.get('x-jayfall-version')
    promptTokens = data.usage?.prompt_tokens ?? 0
    outputTokens = data.usage?.completion_tokens ?? 0
  }
  const version = deployment.catalogue.find((one): one is VersionEntry => one.kind === 'version' && one.id === versionId)
  const cost = version === undefined ? 0 : (promptTokens * version.price.promptPerMillionTokens + outputTokens * version.price.outputPerMillionTokens) / 1e6
  const milliseconds = Math.round(performance.now() - startedAt)
  write(`served "${prompt}" through ${entry} by ${versionId}, ${isStreamed ? 'streamed' : 'whole'}, ${outputTokens} tokens in ${milliseconds} ms, cost ${cost.toFixed(6)}`)
}

/** Makes the same enrolment through two instances; it runs once. */
async function callTwice (system: TestSystem, deployment: Deployment): Promise<void> {
  for (const { id } of deployment.entries) {
    const response = await fetch(`http://${system.callersAddress(id)}/v1/services/${deployment.plainService}/enrol`, {
      method: 'POST',
      headers: { authorization: `Bearer ${testCallerKey(deployment.workspace)}`, 'idempotency-key': 'place-7', 'content-type': 'application/json' },
      body: JSON.stringify({ place: 7 })
    })
    write(`enrolled place 7 through ${id}: status ${response.status}${response.headers.has('x-jayfall-replayed') ? ', answered from the record' : ''}`)
  }
  const runs = await system.readStandIn<Record<string, number>>(`${deployment.plainService}-1`, '/runs')
  write(`the service ran ${Object.values(runs).reduce((sum, count) => sum + count, 0)} enrolment`)
}

async function printBills (system: TestSystem): Promise<void> {
  const http = new PlatformHttp({ address: system.directAddress('platform') })
  try {
    const bills = await readLedger(new HttpTableStore(http), new HttpObjectStore(http))
    for (const { source, amount, key } of bills) write(`billed ${source} amount ${amount.toFixed(6)} key ${key}`)
    write(`billed in all: ${bills.length} bills, amount ${bills.reduce((sum, { amount }) => sum + amount, 0).toFixed(6)}`)
  } finally {
    http.close()
  }
}

async function main (): Promise<void> {
  for (const deployment of DEPLOYMENTS) await runDeployment(deployment)
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack}\n`)
  process.exitCode = 1
})
