/** Tests of the validation of entry settings. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { parseEntrySettings } from '../../JayfallEntrySettings'

const MINIMAL_SETTINGS = `
[instance]
id = entry-1
zone = valdivia
region = zona-sur
[callers]
address = 127.0.0.1:8080
[peers]
address = 127.0.0.1:8081
[platform]
address = 127.0.0.1:8090
[keys]
seal-passwords = first:0123456789012345678901234567890123456789
`

describe('parseEntrySettings', () => {
  it('applies defaults and converts units into milliseconds and bytes', () => {
    const settings = parseEntrySettings(MINIMAL_SETTINGS.replace('[peers]', 'header-timeout = 5s\n[peers]'))
    assert.equal(settings.callers['header-timeout'], 5000)
    assert.equal(settings.callers['body-limit'], 1024 * 1024)
  })

  // Guards against an instance that starts with invalid settings, or that reports them without the place of the error.
  describe('rejects invalid settings and names the section, the key and the value (guards against a start with wrong settings)', () => {
    const cases: readonly (readonly [string, string, RegExp])[] = [
      ['an unknown key', MINIMAL_SETTINGS.replace('zone =', 'zona ='), /section \[instance\] key zona value "valdivia": unknown/],
      ['a missing value', MINIMAL_SETTINGS.replace('zone = valdivia', ''), /section \[instance\] key zone value missing/],
      ['a wrong unit', MINIMAL_SETTINGS.replace('[peers]', 'header-timeout = 5 parsecs\n[peers]'), /key header-timeout value "5 parsecs": expected a duration/]
    ]
    for (const [name, content, expected] of cases) {
      it(name, () => assert.throws(() => parseEntrySettings(content), expected))
    }

    // Guards against passwords in the error message, which is written to the log.
    it('does not include secrets in the error message (guards against passwords in logs)', () => {
      assert.throws(() => parseEntrySettings(MINIMAL_SETTINGS.replace('first:', 'first-')), (error: Error) => !error.message.includes('0123456789'))
    })
  })
})
