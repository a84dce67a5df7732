export { type FeedInstance } from './JayfallReaderChoice'
export { SharedTableStore, type SharedTableStoreParts } from './JayfallSharedTableStore'
export { followTable, type FeedEvent, type FeedOptions, type FeedReading } from './JayfallTableFeed'
