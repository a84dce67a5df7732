/** Child processes of tests, proofs and benches. */

import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import * as net from 'node:net'
import * as path from 'node:path'

const BUILD_DIRECTORY = path.resolve(__dirname, '../..')
/** Second byte of the addresses of tests, and how many there are. */
const FIRST_TEST_NETWORK = 16
const TEST_NETWORKS = 200
const READY_TIMEOUT_MILLISECONDS = 15_000

/** A child process whose output is kept. */
export class TestProcess {
  private readonly child: ChildProcess
  private text = ''

  /** @param script path of a compiled program below the build directory. */
  constructor (readonly name: string, script: string, programArguments: readonly string[]) {
    this.child = spawn(process.execPath, ['--enable-source-maps', path.join(BUILD_DIRECTORY, script), ...programArguments], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.child.stdout?.on('data', (chunk: Buffer) => { this.text += chunk.toString() })
    this.child.stderr?.on('data', (chunk: Buffer) => { this.text += chunk.toString() })
  }

  get output (): string {
    return this.text
  }

  get processId (): number {
    return this.child.pid ?? 0
  }

  get isRunning (): boolean {
    return this.child.exitCode === null && this.child.signalCode === null
  }

  /** Waits until the output contains `text`. */
  async waitForOutput (text: string, timeout = READY_TIMEOUT_MILLISECONDS): Promise<void> {
    const deadline = Date.now() + timeout
    while (!this.text.includes(text)) {
      if (!this.isRunning) throw new Error(`${this.name} ended before it printed ${text}:\n${this.text}`)
      if (Date.now() > deadline) throw new Error(`${this.name} did not print ${text}:\n${this.text}`)
      await new Promise(resolve => setTimeout(resolve, 10))
    }
  }

  /** Sends a signal, for example SIGKILL, SIGSTOP or SIGCONT. */
  signal (signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal)
  }

  /** Sends SIGTERM and waits for the end; returns the exit status, null after a kill. */
  async stop (signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    if (!this.isRunning) return this.child.exitCode
    // A paused process would not handle the signal.
    this.child.kill('SIGCONT')
    this.child.kill(signal)
    const [status] = await once(this.child, 'exit') as [number | null]
    return status
  }
}

let createdAddresses = 0

/**
 * A loopback address that this process has not given out before, and others that run now will not.
 * On an address of its own a port that was free stays free, whatever other processes do.
 */
export function createTestAddress (): string {
  createdAddresses++
  return `127.${FIRST_TEST_NETWORK + (process.pid >> 8) % TEST_NETWORKS}.${process.pid % 256}.${createdAddresses % 254 + 1}`
}

/** Ports that this process has given out, as `host:port`. */
const givenPorts = new Set<string>()

/** A TCP port of `host` that is free now and that this process has not given out before. */
export async function findFreePort (host = '127.0.0.1'): Promise<number> {
  for (;;) {
    const port = await findUnusedPort(host)
    const name = `${host}:${port}`
    if (givenPorts.has(name)) continue
    givenPorts.add(name)
    return port
  }
}

/** The kernel draws it anew each time, so the same one may come again before anybody listens on it. */
async function findUnusedPort (host: string): Promise<number> {
  const server = net.createServer()
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  const { port } = server.address() as net.AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}
