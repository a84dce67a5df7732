export { DEFAULT_DATA_THREADS, parseEntrySettings, readEntrySettings, type EntrySettings } from './JayfallEntrySettings'
export { SettingsError, type SettingsErrorCode } from './JayfallSettingsError'
export { durationSetting, parseDuration, parseSize, sizeSetting } from './JayfallUnits'
