/** `jayfall entry`: runs an entry instance. */

import * as fs from 'node:fs'

import { ENTRY_LOG, ENTRY_PARTS, ENTRY_SETTINGS, EntryInstance, createDataParts } from '#jayfall/entry'
import { readEntrySettings } from '#jayfall/settings'
import { createLog, type Log } from '#jayfall/telemetry'
import { command, flag, option, string } from 'cmd-ts'
import { container } from 'tsyringe'

import { EXIT_STATUS, toCommandError } from './JayfallCommandError'
import { runSubcommand } from './JayfallCommandOutput'

const KEY_RELOAD_INTERVAL_MILLISECONDS = 1000

export const entryCommand = command({
  name: 'entry',
  description: 'Run an entry instance until SIGTERM or SIGINT; a second signal stops at once.',
  args: {
    settings: option({ long: 'settings', type: string, defaultValue: () => 'jayfall.ini', description: 'settings file; jayfall.ini by default' }),
    checkSettings: flag({ long: 'check-settings', description: 'only check the settings' })
  },
  handler: ({ settings: path, checkSettings }) => runSubcommand(async () => {
    const settings = readEntrySettings(path)
    if (checkSettings) {
      process.stdout.write(`${path} is valid\n`)
      return
    }
    const log = createLog(settings.telemetry['log-level'], { instance: settings.instance.id })
    container.registerInstance(ENTRY_SETTINGS, settings)
    container.registerInstance(ENTRY_LOG, log)
    // Counter-proofs, which run with one mechanism replaced, register their own parts before this command runs.
    if (!container.isRegistered(ENTRY_PARTS)) container.registerInstance(ENTRY_PARTS, createDataParts())
    const instance = container.resolve(EntryInstance)
    // A signal during the start must also lead to a planned stop.
    const started = instance.start()
    const stopWatching = watchKeys(path, instance, log)
    await Promise.all([started, stopOnSignal(instance, started)])
    stopWatching()
  })
})

/** Passes the keys of the settings file to the instance whenever the file changes. Returns a function that ends this. */
function watchKeys (path: string, instance: EntryInstance, log: Log): () => void {
  const reload = (): void => {
    try {
      instance.replaceKeys(readEntrySettings(path).keys)
    } catch (error) {
      log.error('keys_not_replaced', { message: toCommandError(error).message })
    }
  }
  // Polling also detects that the file was replaced by another one.
  fs.watchFile(path, { interval: KEY_RELOAD_INTERVAL_MILLISECONDS }, reload)
  return () => fs.unwatchFile(path, reload)
}

/** Resolves when the instance has stopped. The first signal, or a failed data thread, starts a planned stop; the next signal stops the instance at once. */
function stopOnSignal (instance: EntryInstance, started: Promise<void>): Promise<void> {
  return new Promise((resolve, reject) => {
    let signals = 0
    const onSignal = (): void => {
      signals++
      if (signals > 2) return
      const stopped = signals === 1 ? started.then(() => instance.stop()) : instance.stopNow()
      stopped.then(resolve, reject)
    }
    instance.failure.then(() => {
      process.exitCode = EXIT_STATUS.failed
      onSignal()
    }, reject)
    process.on('SIGTERM', onSignal)
    process.on('SIGINT', onSignal)
  })
}
