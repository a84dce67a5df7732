/**
 * An entry instance with one part replaced by one that does not keep its promise.
 *
 * The first argument names the replaced part; the others are those of `jayfall`.
 */

import 'reflect-metadata'
import { container } from 'tsyringe'

import { runCommandLine } from '#jayfall/command'
import { AnswerReader, AnswerReaderFactory, ENTRY_PARTS, LeavingPolicy, SessionPolicy, createDataParts, type DataParts, type ReaderOptions } from '#jayfall/entry'

const EMPTY_FINAL = Buffer.from('data: {"choices":[],"usage":{"prompt_tokens":0,"completion_tokens":0}}\n\ndata: [DONE]\n\n')

/** Passes on whatever arrives, and takes the end of a connection for the end of the answer. */
class UncheckedReader extends AnswerReader {
  private events = 0
  private ended = false

  constructor (private readonly options: ReaderOptions, private readonly endsWithConnection: boolean) {
    super()
    this.events = options.nextIndex
    options.response.on('data', (chunk: Buffer) => this.take(chunk))
    options.response.on('close', () => this.close())
    options.response.on('error', () => this.close())
  }

  override pause (): void {
    this.options.response.pause()
  }

  override resume (): void {
    this.options.response.resume()
  }

  override stop (): void {
    this.ended = true
    this.options.response.destroy()
  }

  private take (chunk: Buffer): void {
    if (this.ended) return
    const isLast = chunk.includes('[DONE]')
    this.ended = isLast
    if (isLast) this.options.receiver.onFinal(chunk, this.events)
    else this.options.receiver.onEvents(chunk, this.events++)
  }

  private close (): void {
    if (this.ended) return
    this.ended = true
    if (this.endsWithConnection) this.options.receiver.onFinal(EMPTY_FINAL, this.events)
    else this.options.receiver.onBreak('closed')
  }
}

class UncheckedReaderFactory extends AnswerReaderFactory {
  constructor (private readonly endsWithConnection: boolean) {
    super()
  }

  override open (options: ReaderOptions): AnswerReader {
    return new UncheckedReader(options, this.endsWithConnection)
  }
}

class ForgetfulSessionPolicy extends SessionPolicy {
  override async find (): Promise<undefined> {
    return undefined
  }
}

class DeafLeavingPolicy extends LeavingPolicy {
  override readonly honoursMarks = false

  override isAnnounced (): boolean {
    return false
  }
}

const REPLACED_PARTS: Readonly<Record<string, Partial<DataParts>>> = {
  'stream-checks': { readers: new UncheckedReaderFactory(true) },
  'silence-checks': { readers: new UncheckedReaderFactory(false) },
  sessions: { sessions: new ForgetfulSessionPolicy() },
  leaving: { leaving: new DeafLeavingPolicy() }
}

const [node, script, part, ...rest] = process.argv
container.registerInstance(ENTRY_PARTS, createDataParts(REPLACED_PARTS[part]))
runCommandLine([node, script, ...rest])
