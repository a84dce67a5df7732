/** Errors of the catalogue. */

import { JayfallError, type ErrorInfo } from '#jayfall/shared'

export type CatalogueErrorCode = 'entry_invalid' | 'reference_missing' | 'revision_gap'

/** Thrown when the catalogue refuses an entry or a change. */
export class CatalogueError extends JayfallError {
  constructor (code: CatalogueErrorCode, message: string, cause?: unknown, info?: ErrorInfo) {
    super('CatalogueError', code, message, cause, info)
  }
}
