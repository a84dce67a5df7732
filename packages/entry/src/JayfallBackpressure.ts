/** Backpressure from slow callers to engines, so that unread events do not accumulate in memory. */

import { type ResponseWriter } from './JayfallResponseWriter'
import { type AttemptStream } from './JayfallAttemptStream'
import { type DataContext } from './JayfallDataContext'
import { IDLE_STREAMS_METRIC } from './JayfallEntryConstants'

/** Pauses the stream until the caller has read the buffered output, and disconnects a caller that reads nothing within the timeout. */
export function applyBackpressure (context: DataContext, responseWriter: ResponseWriter, stream: AttemptStream): void {
  stream.pauseReading()
  const timer = setTimeout(() => {
    context.metrics.count(IDLE_STREAMS_METRIC)
    context.log.info('idle_caller_disconnected', { request: stream.target.requestId })
    responseWriter.disconnect()
  }, context.idleStreamTimeout)
  responseWriter.onceDrained(() => {
    clearTimeout(timer)
    stream.resumeReading()
  })
}
