export { hashKey } from './JayfallAuthentication'
export { ENTRY_LOG, ENTRY_SETTINGS, EntryInstance } from './JayfallEntryInstance'
export { PeerControl, type PeerControlParts, type PeerControlSettings } from './JayfallPeerControl'
