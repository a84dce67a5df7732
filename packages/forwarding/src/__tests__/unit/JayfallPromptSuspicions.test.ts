/** Tests of the suspicions against prompts that crash servers: at one instance, and at up to 890 under load. */

import * as assert from 'node:assert/strict'
import { before, describe, it } from 'node:test'

import { ManualClock, RandomSource } from '#jayfall/shared'

import { type PromptSuspicions } from '../../JayfallPromptSuspicions'
import { type RequestIdentity } from '../../JayfallRequestIdentity'
import { CrashLoad, requestWith } from './JayfallCrashLoad'
import { createSuspicions } from './JayfallDecisionFixture'
import { RumorNetwork, Simulation } from './JayfallRumorNetwork'

const CONTACT_MILLISECONDS = 3000
const LOSS = 0.05
const LOAD_SECONDS = 12
const ASKED_INSTANCES = 3

const deadlyRequest = (): RequestIdentity => requestWith('system', 'book', 'deadly', 'own')

describe('PromptSuspicions', () => {
  describe('at one instance', () => {
    function start (): { readonly clock: ManualClock, readonly suspicions: PromptSuspicions } {
      const clock = new ManualClock(100_000)
      return { clock, suspicions: createSuspicions(clock) }
    }

    it('admits prompts as long as no server crashed', () => {
      assert.deepEqual(start().suspicions.admit(deadlyRequest()), { kind: 'admitted' })
    })

    it('refuses prompts like one that two servers crashed under', () => {
      const { suspicions } = start()
      suspicions.recordCrash(deadlyRequest(), 's1')
      assert.equal(suspicions.admit(deadlyRequest()).kind, 'admitted')
      suspicions.recordCrash(deadlyRequest(), 's2')
      assert.equal(suspicions.admit(requestWith('system', 'book', 'deadly', 'other')).kind, 'refused')
    })

    // Parts that every deadly prompt has in common with sound ones were in as many crashes as the deadly part.
    it('admits prompts that share only some of the parts (guards against sound requests that are refused)', () => {
      const { suspicions } = start()
      for (const server of ['s1', 's2', 's3']) suspicions.recordCrash(deadlyRequest(), server)
      assert.equal(suspicions.admit(requestWith('system', 'book', 'own')).kind, 'admitted')
      assert.equal(suspicions.admit(requestWith('system', 'deadly', 'own')).kind, 'admitted')
    })

    it('narrows a suspicion to what has never had an answer', () => {
      const { clock, suspicions } = start()
      for (const server of ['s1', 's2']) suspicions.recordCrash(deadlyRequest(), server)
      clock.advance(10)
      suspicions.recordBegun(requestWith('system', 'book', 'own'))
      assert.equal(suspicions.admit(requestWith('letter', 'deadly', 'own')).kind, 'refused')
    })

    // Right after a start no part has had an answer, so the part that all prompts of a route begin with looked as guilty as the deadly one.
    it('compares prompts of different kinds only after some answers (guards against a whole route that is refused after a start)', () => {
      const { suspicions } = start()
      for (let crash = 0; crash < 5; crash++) suspicions.recordCrash(requestWith('system', `book${crash}`, 'own'), `s${crash}`)
      assert.equal(suspicions.admit(requestWith('system', 'book9', 'own')).kind, 'admitted')
    })

    it('suspects what prompts of different kinds have in common, once it knows sound ones', () => {
      const { clock, suspicions } = start()
      for (let answer = 0; answer < 30; answer++) {
        suspicions.open(requestWith('system', `book${answer}`, 'own'), () => {})()
        suspicions.recordBegun(requestWith('system', `book${answer}`, 'own'))
      }
      for (let crash = 0; crash < 3; crash++) suspicions.recordCrash(requestWith('system', `book${crash}`, 'deadly', 'own'), `s${crash}`)
      clock.advance(1)
      assert.equal(suspicions.admit(requestWith('system', 'book9', 'deadly', 'own')).kind, 'refused')
      assert.equal(suspicions.admit(requestWith('system', 'book1', 'own')).kind, 'admitted')
    })

    it('counts several requests at one crashed server as one crash (guards against suspicions after a single crash)', () => {
      const { suspicions } = start()
      for (let request = 0; request < 9; request++) suspicions.recordCrash(requestWith('system', 'book', `own${request}`), 's1')
      assert.equal(suspicions.admit(requestWith('system', 'book', 'own')).kind, 'admitted')
    })

    it('never suspects the last part, which belongs to one request', () => {
      const { suspicions } = start()
      for (const server of ['s1', 's2', 's3']) suspicions.recordCrash(requestWith('own'), server)
      assert.equal(suspicions.admit(requestWith('own')).kind, 'admitted')
    })

    it('keeps two deadly parts apart', () => {
      const { clock, suspicions } = start()
      for (const [index, part] of ['deadly', 'mortal', 'deadly', 'mortal'].entries()) {
        for (let request = 0; request < 10; request++) suspicions.open(requestWith('system', 'other', 'own'), () => {})()
        suspicions.recordCrash(requestWith('system', `book-${part}`, part, 'own'), `s${index}`)
        clock.advance(200)
        suspicions.recordBegun(requestWith('system', 'other', 'own'))
      }
      assert.equal(suspicions.admit(requestWith('system', 'book-deadly', 'deadly', 'x')).kind, 'refused')
      assert.equal(suspicions.admit(requestWith('system', 'book-mortal', 'mortal', 'x')).kind, 'refused')
      assert.equal(suspicions.admit(requestWith('system', 'book', 'x')).kind, 'admitted')
    })

    // A bad version crashes under every prompt, and its prompts are not at fault.
    it('asks for more crashes where all kinds of prompts meet them (guards against suspicions while servers crash by themselves)', () => {
      const { clock, suspicions } = start()
      for (let request = 0; request < 40; request++) {
        suspicions.open(requestWith('system', `book${request}`, 'own'), () => {})()
        if (request % 2 === 0) suspicions.recordCrash(requestWith('system', `book${request}`, 'own'), `s${request}`)
        else suspicions.recordBegun(requestWith('system', `book${request}`, 'own'))
        clock.advance(300)
      }
      for (const server of ['a', 'b']) suspicions.recordCrash(requestWith('system', 'rare', 'own'), server)
      assert.equal(suspicions.admit(requestWith('system', 'rare', 'own')).kind, 'admitted')
    })

    it('ends open attempts with the suspected parts, and no others', () => {
      const { suspicions } = start()
      const ended: string[] = []
      suspicions.open(deadlyRequest(), () => ended.push('deadly'))
      suspicions.open(requestWith('system', 'book', 'own'), () => ended.push('sound'))
      for (const server of ['s1', 's2']) suspicions.recordCrash(deadlyRequest(), server)
      assert.deepEqual(ended, ['deadly'])
    })

    // Refused prompts have no answers, so a wrong suspicion could not be noticed.
    it('lets one prompt through when a trial is due, and ends the suspicion with its answer (guards against wrong suspicions without end)', () => {
      const { clock, suspicions } = start()
      for (const server of ['s1', 's2']) suspicions.recordCrash(deadlyRequest(), server)
      const refused = suspicions.admit(deadlyRequest())
      assert.equal(refused.kind, 'refused')
      clock.advance(refused.kind === 'refused' ? refused.retryAfter : 0)
      assert.deepEqual([suspicions.admit(deadlyRequest()).kind, suspicions.admit(deadlyRequest()).kind], ['trial', 'refused'])
      suspicions.recordBegun(deadlyRequest())
      assert.equal(suspicions.admit(deadlyRequest()).kind, 'admitted')
    })

    it('waits twice as long for the next trial after one that crashed a server', () => {
      const { clock, suspicions } = start()
      const retryAfter = (): number => {
        const admission = suspicions.admit(deadlyRequest())
        return admission.kind === 'refused' ? admission.retryAfter : 0
      }
      for (const server of ['s1', 's2']) suspicions.recordCrash(deadlyRequest(), server)
      const first = retryAfter()
      suspicions.recordCrash(deadlyRequest(), 's3')
      assert.equal(retryAfter(), 2 * first)
      clock.advance(2 * first - 1)
      assert.equal(suspicions.admit(deadlyRequest()).kind, 'refused')
    })
  })

  for (const instances of [3, 9, 195, 890]) {
    describe(`at ${instances} instances under load`, () => {
      const simulation = new Simulation()
      const network = new RumorNetwork(simulation, instances, new RandomSource(instances), LOSS)
      const load = new CrashLoad(simulation, network)

      // One request in twenty holds the deadly part, servers come back after 3 s, and other requests at a crashed server are repeated.
      before(() => {
        load.begin()
        simulation.runFor(LOAD_SECONDS * 1000)
      })

      // Each instance learned for itself, so every instance lost its own servers, and callers' repeats went to the next instance.
      it('keeps deadly prompts from all servers within the contact time after the fifth crash (guards against the query of death, issue 28)', () => {
        const knownAt = load.crashTimes.length < 5 ? Infinity : load.crashTimes[4] + CONTACT_MILLISECONDS
        const late = load.deadlyArrivals.filter(at => at > knownAt).length
        assert.ok(late <= 3, `${late} deadly prompts reached servers later; ${load.crashTimes.length} crashes`)
        assert.ok(load.refused > 0, 'deadly prompts were refused')
      })

      it('goes on serving sound prompts (guards against suspicions of what they share)', () => {
        const share = load.soundFirstTimes / load.sound
        assert.ok(share > 0.5, `${share} of ${load.sound} sound requests began at the first attempt`)
      })

      it('sends no more than an instance may use for control (13 KB a second of messages of 200 bytes)', () => {
        const perInstance = network.sentMessages / instances / LOAD_SECONDS
        assert.ok(perInstance * 200 <= 13_000, `${perInstance} messages a second`)
      })

      it('tells an instance that starts meanwhile what it asks', () => {
        const [newcomer, ...others] = network.channels
        load.restart(0)
        for (const other of others.slice(0, ASKED_INSTANCES)) newcomer.ask(other)
        simulation.runFor(100)
        const requests = [...['book0', 'book1', 'book2'].map(book => requestWith('system', book, 'deadly', 'own')), ...load.deadlyRequests]
        const admitted = [0, 1].map(instance => requests.map(request => load.suspicionsOf(instance).admit(request).kind === 'admitted'))
        assert.deepEqual(admitted[0], admitted[1])
        assert.ok(admitted[0].includes(false))
      })
    })
  }
})
