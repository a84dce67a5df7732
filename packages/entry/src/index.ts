export { hashKey } from './JayfallAuthentication'
export { ENTRY_LOG, ENTRY_SETTINGS, EntryInstance } from './JayfallEntryInstance'
