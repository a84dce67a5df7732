/** The stand-ins' program: one process for each stand-in, told apart by subcommand. */

import { binary, command, flag, number, option, restPositionals, run, string, subcommands } from 'cmd-ts'

import { startEngineStandIn } from './JayfallEngineStandIn'
import { startFaultProxy } from './JayfallFaultProxy'
import { startPlainServiceStandIn } from './JayfallPlainServiceStandIn'
import { startPlatformStandIn } from './JayfallPlatformStandIn'
import { DEFAULT_HOST } from './JayfallStandInConstants'

const port = option({ long: 'port', type: number, description: 'loopback port' })
const host = option({ long: 'host', type: string, defaultValue: () => DEFAULT_HOST, description: 'loopback address; 127.0.0.1 by default' })

function numberOption (long: string, description: string, fallback: number) {
  return option({ long, type: number, description, defaultValue: () => fallback })
}

const engine = command({
  name: 'engine',
  args: {
    port,
    host,
    slots: numberOption('slots', 'streams that decode at once', 16),
    tokenInterval: numberOption('token-interval', 'milliseconds between tokens of a stream that runs alone', 5),
    tokenCharacters: numberOption('token-characters', 'characters of each token at least', 0),
    batchSlowdown: numberOption('batch-slowdown', 'share of the interval that each further stream adds', 0.02),
    promptTokenTime: numberOption('prompt-token-time', 'milliseconds for one prompt token that is not cached', 0.05),
    cacheTokens: numberOption('cache-tokens', 'capacity of the prefix cache in tokens', 20_000),
    loadLag: numberOption('load-lag', 'milliseconds by which load reports lag', 1000),
    checksFencing: flag({ long: 'checks-fencing', description: 'refuse orders with an old fencing number' }),
    versions: option({ long: 'versions', type: string, description: 'loaded versions, separated by commas', defaultValue: () => '' })
  },
  handler: async settings => {
    await startEngineStandIn({ ...settings, versions: settings.versions.split(',').filter(Boolean) })
    process.stdout.write(`stand-in=engine port=${settings.port} state=ready\n`)
  }
})

const plain = command({
  name: 'plain',
  args: { port, host, callTime: numberOption('call-time', 'milliseconds that one call takes', 5) },
  handler: async settings => {
    await startPlainServiceStandIn(settings)
    process.stdout.write(`stand-in=plain port=${settings.port} state=ready\n`)
  }
})

const platform = command({
  name: 'platform',
  args: { port, host, seed: numberOption('seed', 'seed of the injected faults', 1) },
  handler: async settings => {
    await startPlatformStandIn(settings)
    process.stdout.write(`stand-in=platform port=${settings.port} state=ready\n`)
  }
})

const proxy = command({
  name: 'proxy',
  args: { port, host, links: restPositionals({ type: string, displayName: 'name=port:target-host:target-port' }) },
  handler: async ({ port, host, links }) => {
    await startFaultProxy(port, links.map(parseLink), host)
    process.stdout.write(`stand-in=proxy port=${port} state=ready\n`)
  }
})

function parseLink (text: string) {
  const [name, ports] = text.split('=')
  const [port, targetHost, targetPort] = ports.split(':')
  return { name, port: Number(port), targetHost, targetPort: Number(targetPort) }
}

run(binary(subcommands({ name: 'standins', cmds: { engine, plain, platform, proxy } })), process.argv).catch((error: Error) => {
  process.stderr.write(`${error.message}\n`)
  process.exitCode = 1
})
