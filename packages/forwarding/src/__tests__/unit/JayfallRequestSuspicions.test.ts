/** Tests of the suspicions against single requests that crash servers and are repeated: at one instance, and at up to 890. */

import * as assert from 'node:assert/strict'
import { before, describe, it } from 'node:test'

import { ManualClock, RandomSource } from '#jayfall/shared'

import { type PromptSuspicions } from '../../JayfallPromptSuspicions'
import { identifyRequest, type IdentifiedRequest, type RequestIdentity } from '../../JayfallRequestIdentity'
import { CrashLoad, requestWith } from './JayfallCrashLoad'
import { createSuspicions } from './JayfallDecisionFixture'
import { RumorNetwork, Simulation, ZONES } from './JayfallRumorNetwork'

const CONTACT_MILLISECONDS = 3000
/** Crashes after which a request must be known, and retries that may come to servers later. */
const [KNOWN_CRASHES, ALLOWED_RETRIES] = [3, 3]
const LOSS = 0.05
const REPEAT_MILLISECONDS = 400
const LOAD_SECONDS = 12
const HOUR_MILLISECONDS = 3_600_000

describe('identifyRequest', () => {
  const request: IdentifiedRequest = { method: 'POST', host: 'taller.example', path: '/list?page=1', workspace: 'taller', promptParts: [{ id: 'a', tokens: 3 }], body: Buffer.from('body') }

  it('gives the repeats of a request the same fingerprint, whatever the case of the host', () => {
    assert.equal(identifyRequest(request).fingerprint, identifyRequest({ ...request, host: 'Taller.Example', body: Buffer.from('body') }).fingerprint)
  })

  const others: Readonly<Record<string, Partial<IdentifiedRequest>>> = {
    method: { method: 'PUT' },
    host: { host: 'other.example' },
    query: { path: '/list?page=2' },
    workspace: { workspace: 'other' },
    prompt: { promptParts: [{ id: 'b', tokens: 3 }] },
    body: { body: Buffer.from('bodY') },
    'lack of a body': { body: Buffer.alloc(0) },
    'large body': { body: Buffer.alloc(4 * 1024 * 1024) }
  }
  for (const [name, fields] of Object.entries(others)) {
    it(`tells requests apart by their ${name}`, () => {
      assert.notEqual(identifyRequest({ ...request, ...fields }).fingerprint, identifyRequest(request).fingerprint)
    })
  }
})

describe('PromptSuspicions against single requests', () => {
  describe('at one instance', () => {
    function start (): { readonly clock: ManualClock, readonly suspicions: PromptSuspicions } {
      const clock = new ManualClock(100_000)
      return { clock, suspicions: createSuspicions(clock) }
    }

    function crash (suspicions: PromptSuspicions, server: string, ...requests: readonly RequestIdentity[]): void {
      for (const request of requests) suspicions.recordCrash(request, server)
    }

    // A repeated request was told from others by the parts of its prompt, which sound requests share.
    it('refuses a repeated request, and no other one with the same prompt parts (guards against sound requests that are refused, issue 36)', () => {
      const { suspicions } = start()
      const [deadly, sound] = [requestWith('system', 'book', 'own'), requestWith('system', 'book', 'other')]
      for (const server of ['s1', 's2', 's3', 's4']) crash(suspicions, server, deadly)
      assert.equal(suspicions.admit(deadly).kind, 'refused')
      assert.equal(suspicions.admit(sound).kind, 'admitted')
    })

    it('waits for a third crash while two requests were at the same two servers (guards against sound requests that are refused)', () => {
      const { suspicions } = start()
      const [deadly, bystander] = [requestWith(), requestWith()]
      for (const server of ['s1', 's2']) crash(suspicions, server, bystander, deadly)
      assert.deepEqual([suspicions.admit(deadly).kind, suspicions.admit(bystander).kind], ['admitted', 'admitted'])
      crash(suspicions, 's3', deadly)
      assert.deepEqual([suspicions.admit(deadly).kind, suspicions.admit(bystander).kind], ['refused', 'admitted'])
    })

    // The instance of a bystander sees only its own request at the servers that crash.
    it('ends a suspicion against a bystander once another request has crashed three servers', () => {
      const { clock, suspicions } = start()
      const [deadly, bystander] = [requestWith(), requestWith()]
      crash(suspicions, 's1', bystander)
      crash(suspicions, 's2', bystander)
      assert.equal(suspicions.admit(bystander).kind, 'refused')
      clock.advance(10)
      for (const server of ['s1', 's2', 's3']) crash(suspicions, server, deadly)
      assert.deepEqual([suspicions.admit(deadly).kind, suspicions.admit(bystander).kind], ['refused', 'admitted'])
    })

    it('does not hold the crashes of a known cause against others', () => {
      const { suspicions } = start()
      const [deadly, bystander] = [requestWith(), requestWith()]
      for (const server of ['s1', 's2', 's3']) crash(suspicions, server, deadly)
      for (const server of ['s1', 's2', 's3']) crash(suspicions, server, bystander)
      assert.equal(suspicions.admit(bystander).kind, 'admitted')
    })

    // The collector of a zone was restarted between the crashes of different requests, and the part that they share stayed unknown.
    it('finds the part that several suspected requests share, from what it was told of them (guards against collectors that lose what they knew)', () => {
      const simulation = new Simulation()
      const network = new RumorNetwork(simulation, 4, new RandomSource(2), 0)
      network.losesReports = true
      const { channels } = network
      const [first, second, third, last] = channels.map(channel => createSuspicions(simulation.clock, channel))
      for (const instance of [first, second, third, last]) for (let answer = 0; answer < 12; answer++) instance.recordBegun(requestWith('system', `book${answer}`, 'own'))
      for (const [index, instance] of [first, second, third].entries()) {
        const request = requestWith('system', `chapter${index}`, 'deadly', 'own')
        for (const server of ['a', 'b']) instance.recordCrash(request, `${server}${index}`)
        instance.admit(request)
        simulation.runFor(3000)
      }
      assert.equal(last.admit(requestWith('system', 'chapter9', 'deadly', 'own')).kind, 'refused')
      assert.equal(last.admit(requestWith('system', 'chapter9', 'own')).kind, 'admitted')
    })

    it('suspects nobody when servers end under requests that differ', () => {
      const { suspicions } = start()
      const requests = Array.from({ length: 200 }, () => requestWith())
      for (const [index, request] of requests.entries()) crash(suspicions, `s${index % 20}`, request)
      assert.ok(requests.every(request => suspicions.admit(request).kind === 'admitted'))
    })

    it('ends a suspicion against a request that is answered elsewhere (guards against a popular request that is refused)', () => {
      const simulation = new Simulation()
      const { channels: [first, second] } = new RumorNetwork(simulation, 2, new RandomSource(1), 0)
      const [here, elsewhere] = [createSuspicions(simulation.clock, first), createSuspicions(simulation.clock, second)]
      const popular = requestWith()
      crash(here, 's1', popular)
      simulation.runFor(2000)
      elsewhere.recordBegun(popular)
      for (const server of ['s2', 's3']) crash(here, server, popular)
      simulation.runFor(3000)
      assert.deepEqual([here.admit(popular).kind, elsewhere.admit(popular).kind], ['admitted', 'admitted'])
    })

    // Callers send the same sound request again and again, and some of it waits at each server that crashes.
    it('never suspects a request that is answered between the crashes (guards against a popular request that is refused or cut off)', () => {
      const { clock, suspicions } = start()
      const popular = requestWith()
      let cut = 0
      suspicions.open(popular, () => { cut++ })
      for (let index = 0; index < 20; index++) {
        crash(suspicions, `s${index}`, popular)
        clock.advance(300)
        suspicions.recordBegun(popular)
        clock.advance(300)
        assert.equal(suspicions.admit(popular).kind, 'admitted')
      }
      assert.equal(cut, 0)
    })

    // Each trial of a deadly request is a retry that comes to a server after the third crash.
    it('tries a request no more than three times after its third crash, and says when to come back (guards against trials without end)', () => {
      const { clock, suspicions } = start()
      const deadly = requestWith()
      for (const server of ['s1', 's2', 's3']) crash(suspicions, server, deadly)
      let trials = 0
      for (const end = clock.monotonic() + HOUR_MILLISECONDS / 4; clock.monotonic() < end; clock.advance(500)) {
        const admission = suspicions.admit(deadly)
        if (admission.kind === 'refused') assert.ok(admission.retryAfter > 0)
        else crash(suspicions, `t${++trials}`, deadly)
      }
      assert.ok(trials > 0 && trials <= ALLOWED_RETRIES, `${trials} trials`)
    })

    it('forgets a suspicion that no trial ends (guards against suspicions without end)', () => {
      const { clock, suspicions } = start()
      const deadly = requestWith()
      for (const server of ['s1', 's2', 's3', 's4', 's5']) crash(suspicions, server, deadly)
      clock.advance(HOUR_MILLISECONDS)
      assert.equal(suspicions.admit(deadly).kind, 'admitted')
    })

    it('keeps a bounded number of suspicions', () => {
      const { suspicions } = start()
      const requests = Array.from({ length: 300 }, () => requestWith())
      for (const [index, request] of requests.entries()) for (const server of ['a', 'b', 'c']) crash(suspicions, `${server}${index}`, request)
      assert.ok(requests.filter(request => suspicions.admit(request).kind === 'refused').length <= 64)
    })
  })

  for (const instances of [3, 9, 195, 890]) {
    for (const [name, cutZone] of [['with lost messages', undefined], ['with lost messages and a zone that is cut off', ZONES[1]]] as const) {
      describe(`at ${instances} instances ${name}`, () => {
        const simulation = new Simulation()
        const network = new RumorNetwork(simulation, instances, new RandomSource(instances), LOSS)
        const load = new CrashLoad(simulation, network, 0, 1)
        const deadly = requestWith()
        let quietMessages = 0

        before(() => {
          network.cutZone = cutZone
          load.begin()
          simulation.runFor(3000)
          quietMessages = network.sentMessages
          load.repeat(deadly, [...network.channels.keys()].filter(index => network.channels[index].zone !== cutZone), REPEAT_MILLISECONDS)
          simulation.runFor(LOAD_SECONDS * 1000)
        })

        // Each instance that the request came to counted the crashes that it saw itself, so a request with one attempt was known at none.
        it('keeps a request that crashes one server at each instance from all servers within the contact time after the third (guards against repeats that crash server after server, issue 36)', () => {
          assert.ok(load.crashTimes.length >= 2, 'the request was suspected after it had crashed servers')
          const knownAt = (load.crashTimes[KNOWN_CRASHES - 1] ?? Infinity) + CONTACT_MILLISECONDS
          const late = load.deadlyArrivals.filter(at => at > knownAt).length
          assert.ok(late <= ALLOWED_RETRIES, `${late} retries reached servers later; ${load.crashTimes.length} crashes`)
        })

        it('serves the others at the first attempt, nearly all of them', () => {
          assert.ok(load.soundFirstTimes / load.sound > 0.9, `${load.soundFirstTimes} of ${load.sound}`)
        })

        it('sends nothing while no server crashes', () => {
          assert.equal(quietMessages, 0)
        })
      })
    }
  }
})
