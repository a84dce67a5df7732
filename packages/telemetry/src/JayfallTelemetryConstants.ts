/** Constants of logs, metrics and traces. */

/** Longest duration that is recorded; longer durations count as this value. */
export const HIGHEST_DURATION_MICROSECONDS = 600_000_000
/** Significant decimal digits of recorded durations. */
export const HISTOGRAM_SIGNIFICANT_DIGITS = 2
/** Percentiles of each histogram that `/metrics` and `/status` report. */
export const REPORTED_PERCENTILES = [50, 95, 99] as const

/** Number of finished spans that an instance keeps in memory, divided between its threads. */
export const SPAN_RING_SIZE = 20_000
/** Number of spans that may wait for the collector, or for the trace file; further spans for the collector are dropped and counted, those for the file are dropped. */
export const SPAN_EXPORT_QUEUE_CAPACITY = 4096
/** Interval at which spans are sent to the collector and written to the trace file. */
export const SPAN_EXPORT_INTERVAL_MILLISECONDS = 1000

/** Number of buffered bytes at which a bounded log writes its lines. */
export const LOG_WRITE_THRESHOLD_BYTES = 4096
/** Interval at which a bounded log writes its lines when fewer bytes are buffered. */
export const LOG_FLUSH_INTERVAL_MILLISECONDS = 250
/** Number of bytes that a bounded log buffers for a slow reader; further lines are dropped. */
export const LOG_BUFFER_BYTES = 1024 * 1024
