export { runCommandLine } from './JayfallCommandLine'
