/** The error for settings that cannot be used. */

import { JayfallError, type ErrorInfo } from '#jayfall/shared'

export type SettingsErrorCode = 'settings_unreadable' | 'settings_invalid'

/** A settings file cannot be read or does not match the schema. */
export class SettingsError extends JayfallError {
  constructor (code: SettingsErrorCode, message: string, cause?: unknown, info?: ErrorInfo) {
    super('SettingsError', code, message, cause, info)
  }
}
