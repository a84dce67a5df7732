export { DEFAULT_FEED_LIMITS, type FeedLimits } from './JayfallFeedTimings'
export { type FeedInstance } from './JayfallReaderSelector'
export { SharedTableStore, type SharedTableStoreParts } from './JayfallSharedTableStore'
export { followTable, type FeedEvent, type FeedOptions, type FeedReading } from './JayfallTableFeed'
