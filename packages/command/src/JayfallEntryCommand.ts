/** `jayfall entry`: the daemon. */

import * as fs from 'node:fs'

import { ENTRY_LOG, ENTRY_PARTS, ENTRY_SETTINGS, EntryInstance, createDataParts } from '#jayfall/entry'
import { readEntrySettings } from '#jayfall/settings'
import { createLog, type Log } from '#jayfall/telemetry'
import { command, flag, option, string } from 'cmd-ts'
import { container } from 'tsyringe'

import { EXIT_STATUS, toCommandError } from './JayfallCommandError'
import { runReporting } from './JayfallCommandOutput'

const KEY_RELOAD_INTERVAL_MILLISECONDS = 1000

export const entryCommand = command({
  name: 'entry',
  description: 'Run an entry instance until SIGTERM or SIGINT; a second signal stops at once.',
  args: {
    settings: option({ long: 'settings', type: string, defaultValue: () => 'jayfall.ini', description: 'settings file; jayfall.ini by default' }),
    checkSettings: flag({ long: 'check-settings', description: 'only check the settings' })
  },
  handler: ({ settings: path, checkSettings }) => runReporting(async () => {
    const settings = readEntrySettings(path)
    if (checkSettings) {
      process.stdout.write(`${path} is valid\n`)
      return
    }
    const log = createLog(settings.telemetry['log-level'], { instance: settings.instance.id })
    container.registerInstance(ENTRY_SETTINGS, settings)
    container.registerInstance(ENTRY_LOG, log)
    // Counter-proofs register parts of their own before this command runs.
    if (!container.isRegistered(ENTRY_PARTS)) container.registerInstance(ENTRY_PARTS, createDataParts())
    const instance = container.resolve(EntryInstance)
    // A signal during the start must lead to a planned stop too.
    const started = instance.start()
    const stopWatching = registerKeyReload(path, instance, log)
    await Promise.all([started, stopOnSignal(instance, started)])
    stopWatching()
  })
})

/** Gives the instance the keys of its settings file whenever that changes; returns a function that ends it. */
function registerKeyReload (path: string, instance: EntryInstance, log: Log): () => void {
  const reload = (): void => {
    try {
      instance.replaceKeys(readEntrySettings(path).keys)
    } catch (error) {
      log.error('keys_not_replaced', { message: toCommandError(error).message })
    }
  }
  // Polling also notices a file that is replaced by another one.
  fs.watchFile(path, { interval: KEY_RELOAD_INTERVAL_MILLISECONDS }, reload)
  return () => fs.unwatchFile(path, reload)
}

/** Resolves when the instance has stopped. The first signal, or a failed data thread, starts a planned stop; the next signal ends it. */
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
