/** `jayfall entry`: the daemon. */

import { ENTRY_LOG, ENTRY_PARTS, ENTRY_SETTINGS, EntryInstance, createDataParts } from '#jayfall/entry'
import { readEntrySettings } from '#jayfall/settings'
import { createLog } from '#jayfall/telemetry'
import { command, flag, option, string } from 'cmd-ts'
import { container } from 'tsyringe'

import { runReporting } from './JayfallCommandOutput'

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
    await instance.start()
    await stopOnSignal(instance)
  })
})

/** Resolves when the instance has stopped. The first signal starts a planned stop, the second ends it. */
function stopOnSignal (instance: EntryInstance): Promise<void> {
  return new Promise((resolve, reject) => {
    let signals = 0
    const onSignal = (): void => {
      signals++
      if (signals > 2) return
      const stopped = signals === 1 ? instance.stop() : instance.stopNow()
      stopped.then(resolve, reject)
    }
    process.on('SIGTERM', onSignal)
    process.on('SIGINT', onSignal)
  })
}
