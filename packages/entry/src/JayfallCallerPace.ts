/** Keeps an answer at the pace at which its caller reads, so that unread events do not fill the memory. */

import { type AnswerSink } from './JayfallAnswerSink'
import { type AttemptStream } from './JayfallAttemptStream'
import { type DataContext } from './JayfallDataContext'
import { IDLE_STREAMS_METRIC } from './JayfallEntryConstants'

/** Reads no more of the answer until the caller has read what was sent, and disconnects a caller that reads nothing. */
export function waitForCaller (context: DataContext, sink: AnswerSink, stream: AttemptStream): void {
  stream.pause()
  const timer = setTimeout(() => {
    context.metrics.count(IDLE_STREAMS_METRIC)
    context.log.info('idle_caller_disconnected', { request: stream.target.requestId })
    sink.disconnect()
  }, context.idleStreamTimeout)
  sink.onceRead(() => {
    clearTimeout(timer)
    stream.unpause()
  })
}
