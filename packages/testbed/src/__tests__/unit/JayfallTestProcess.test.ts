/** Tests of the addresses and ports that tests use. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { createTestAddress, findFreePort } from '../../JayfallTestProcess'

const PORTS = 1500

describe('findFreePort', () => {
  it('gives no port of an address out twice (guards against two programs of one test system on one port)', async () => {
    const host = createTestAddress()
    const ports = new Set<number>()
    for (let count = 0; count < PORTS; count++) ports.add(await findFreePort(host))
    assert.equal(ports.size, PORTS)
  })
})
