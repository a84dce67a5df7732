export { createLog, formatLine, type Log, type LogFields, type LogLevel } from './JayfallLog'
