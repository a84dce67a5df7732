/** Links between two threads of the process. */

import { type MessagePort } from 'node:worker_threads'

import { MessageLink } from './JayfallControlLink'

/** One end of a link that uses a message port. */
export class PortLink<Outgoing, Incoming> extends MessageLink<Outgoing, Incoming> {
  constructor (private readonly port: MessagePort) {
    super()
    port.on('message', (message: Incoming) => this.deliver(message))
  }

  override post (message: Outgoing): void {
    this.port.postMessage(message)
  }

  close (): void {
    this.port.close()
  }
}
