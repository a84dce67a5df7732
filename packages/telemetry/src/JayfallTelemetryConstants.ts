/** Constants of logs, metrics and traces. */

/** Durations up to this are recorded exactly; longer ones count as this. */
export const HIGHEST_DURATION_MICROSECONDS = 600_000_000
export const HISTOGRAM_DIGITS = 2
/** Percentiles of each histogram in `/metrics` and `/status`. */
export const REPORTED_PERCENTILES = [50, 95, 99] as const

/** Spans that an instance keeps in memory, shared between its threads. */
export const SPAN_RING_SIZE = 20_000
/** Spans that wait for the collector; more are dropped and counted. */
export const EXPORT_QUEUE_SIZE = 4096
/** Interval at which spans are sent to the collector and the trace file. */
export const EXPORT_INTERVAL_MILLISECONDS = 1000

/** Lines of a bounded log are written once so many bytes are waiting, or at this interval. */
export const LOG_WRITE_BYTES = 4096
export const LOG_FLUSH_INTERVAL_MILLISECONDS = 250
/** Bytes that may wait for a slow reader; further lines are left out. */
export const LOG_BUFFER_BYTES = 1024 * 1024
