/** Tests of calls between entry instances over real connections. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import * as z from 'zod'

import { PeerClients } from '../../JayfallPeerClient'
import { createPeerRouter, peerProcedure } from '../../JayfallPeerRouter'
import { PeerServer } from '../../JayfallPeerServer'

const router = createPeerRouter({
  test: createPeerRouter({
    double: peerProcedure.input(z.number()).mutation(({ input }) => input * 2)
  })
})

describe('calls between entry instances', () => {
  it('reach the procedure and return its result', async () => {
    const server = await PeerServer.start('127.0.0.1:0', router)
    const clients = new PeerClients<typeof router>({ localAddress: '127.0.0.5' })
    try {
      assert.equal(await clients.clientFor(`127.0.0.1:${server.port}`).test.double.mutate(21), 42)
    } finally {
      clients.close()
      await server.stop()
    }
  })
})
