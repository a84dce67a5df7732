/** Classes of work by its expected length. */

export type WorkClass = 'short' | 'standard' | 'long'
