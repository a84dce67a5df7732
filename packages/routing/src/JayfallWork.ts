/** Classes of work. */

export type WorkClass = 'short' | 'standard' | 'long'
