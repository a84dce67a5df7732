/** Child processes of tests, proofs and benches. */

import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import * as net from 'node:net'
import * as path from 'node:path'

const BUILD_DIRECTORY = path.resolve(__dirname, '../..')
const READY_TIMEOUT_MILLISECONDS = 15_000

/** A program of the build: a package with a `main`, or the path of a compiled script below the build directory. */
export type Program = 'command' | 'standins' | `${string}.js`

/** A child process whose output is kept. */
export class TestProcess {
  private readonly child: ChildProcess
  private text = ''

  constructor (readonly name: string, program: Program, programArguments: readonly string[]) {
    const script = path.join(BUILD_DIRECTORY, program.endsWith('.js') ? program : `${program}/src/main.js`)
    this.child = spawn(process.execPath, ['--enable-source-maps', script, ...programArguments], { stdio: ['ignore', 'pipe', 'pipe'] })
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

/** A TCP port of `host` that is free now. */
export async function findFreePort (host = '127.0.0.1'): Promise<number> {
  const server = net.createServer()
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  const { port } = server.address() as net.AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}
