/** Constants of the ledger. */

export const CALLS_TABLE = 'calls'
export const BILLS_PREFIX = 'bills/'
