/** Constants of the benches. */

/** Open streams of one entry instance at the target size. */
export const TARGET_STREAMS = 1720
/** Token events per second of one entry instance at the target size. */
export const TARGET_EVENTS_PER_SECOND = 42_700
/** Requests per second of one entry instance at the target size. */
export const TARGET_REQUESTS_PER_SECOND = 106

export const MICROSECONDS_PER_MILLISECOND = 1000
/** Clock ticks per second in which Linux counts the CPU time of a process. */
export const CPU_TICKS_PER_SECOND = 100
