/** Tests of the timeline that is reconstructed from log lines. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { readLogLine, type LogRecord } from '#jayfall/telemetry'

import { createTimeline } from '../../JayfallRequestTimeline'

const LINES = [
  '{"level":"info","time":"T1","instance":"entry-1","event":"catalogue_in_force","version":7}',
  '{"level":"info","time":"T2","instance":"entry-2","event":"catalogue_in_force","version":8}',
  '   1.25 entry-1 {"level":"info","time":"T3","instance":"entry-1","event":"attempt_ended","request":"r1","attempt":1,"server":"s1","result":"silent","load":3,"load_age_ms":900}',
  '{"level":"info","time":"T4","instance":"entry-1","event":"request_ended","request":"r1","outcome":"timeout","elapsed_ms":900,"allowed_ms":900}',
  'time=T5 level=info event=request_refused instance=entry-1 request=r2 status=401 code=unknown_key',
  '{"level":"info","time":"T6","instance":"ent'
]

const RECORDS = LINES.map(readLogLine).filter((record): record is LogRecord => record !== undefined)

describe('createTimeline', () => {
  // Without the prompt parts and the events, a request that ends servers looked like servers that end under load.
  it('shows events and prompt parts of a broken attempt (guards against crashes whose cause cannot be told)', () => {
    const line = '{"level":"info","time":"T1","instance":"entry-1","event":"attempt_ended","request":"r3","attempt":1,"server":"s1","result":"broken","cause":"reset","events":0,"prompt_parts":"a1,b2"}'
    const records = [readLogLine(line)].filter((record): record is LogRecord => record !== undefined)
    assert.match(createTimeline('r3', records)?.steps[0].text ?? '', /broken, reset.*, 0 events, prompt parts a1,b2/)
  })

  it('lists the attempts, the cause and the state changes of its own instance only', () => {
    const timeline = createTimeline('r1', RECORDS)
    assert.equal(timeline?.steps.length, 2)
    assert.match(timeline.cause, /time .* ended: silent at s1/)
    assert.deepEqual(timeline.beliefs.map(({ time }) => time), ['T1'])
  })

  // The instance that took the request from another one also logs its end, which may differ from what the caller got.
  it('follows a request through two instances and explains it by the one that the caller reached (guards against a request that is explained twice)', () => {
    const lines = [
      '{"level":"info","time":"T1","instance":"entry-1","event":"service_out_of_reach","service":"guide","servers":8}',
      '{"level":"info","time":"T2","instance":"entry-2","event":"attempt_ended","request":"r4","attempt":1,"server":"s1","result":"answered"}',
      '{"level":"info","time":"T3","instance":"entry-2","event":"request_ended","request":"r4","outcome":"delivered","relayed_from":"entry-1"}',
      '{"level":"info","time":"T3","instance":"entry-1","event":"relay_ended","request":"r4","relay":1,"through":"entry-2","zone":"osorno","result":"broken","cause":"reset"}',
      '{"level":"info","time":"T4","instance":"entry-1","event":"request_ended","request":"r4","outcome":"answer_lost"}'
    ]
    const timeline = createTimeline('r4', lines.map(readLogLine).filter((record): record is LogRecord => record !== undefined))
    assert.match(timeline?.cause ?? '', /not known to have been a success: answered at s1, then broken through entry-2/)
    assert.match(timeline?.steps[1].text ?? '', /ended for entry-1 as delivered/)
    assert.match(timeline?.steps[2].text ?? '', /relay 1 through entry-2 in osorno: broken, reset/)
    assert.match(timeline?.beliefs[0].text ?? '', /service out of reach/)
  })

  it('explains every refusal by servers (guards against refusals that read like unknown outcomes)', () => {
    for (const outcome of ['no_server', 'unreached', 'servers_full', 'suspect_prompt', 'servers_limited', 'servers_cold', 'servers_evacuated', 'servers_busy']) {
      const record = readLogLine(`{"level":"info","time":"T1","instance":"entry-1","event":"request_ended","request":"r5","outcome":"${outcome}"}`)
      assert.ok(record !== undefined)
      assert.doesNotMatch(createTimeline('r5', [record])?.cause ?? 'not known', /not known to have/, outcome)
    }
  })

  it('reads lines of key=value pairs', () => {
    assert.match(createTimeline('r2', RECORDS)?.cause ?? '', /no such key/)
  })

  it('returns nothing for unknown requests and skips truncated lines (guards against crashes on partial logs)', () => {
    assert.equal(createTimeline('r3', RECORDS), undefined)
    assert.equal(RECORDS.length, LINES.length - 1)
  })

  // The time grew with the square of the line's length where a quotation mark was not closed, or a name had no value.
  it('reads odd lines in time in line with their length (guards against a command that does not end)', () => {
    const startedAt = performance.now()
    for (const text of ['a="'.repeat(100_000), 'a'.repeat(300_000)]) assert.equal(readLogLine(`event=odd ${text}`)?.event, 'odd')
    assert.ok(performance.now() - startedAt < 1000)
  })
})
