/** A stand-in for the platform's metadata store: rows with versions, transactions and a feed of changes. */

import http from 'node:http'

const HISTORY_POLL_MS = 10
const ANSWER_MS = 4

export class Store {
  /** 'up', or 'silent': calls stay open and nothing is answered. */
  mode = 'up'
  #rows = new Map()
  #version = 1
  #server = http.createServer((request, response) => this.#answer(request, response))

  constructor (host) {
    this.host = host
  }

  async start () {
    await new Promise(resolve => this.#server.listen(0, this.host, resolve))
  }

  get address () {
    return `${this.host}:${this.#server.address().port}`
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  put (table, key, value) {
    this.#write(table, '', key, Buffer.from(JSON.stringify(value)).toString('base64'))
  }

  remove (table, key) {
    this.#write(table, '', key, undefined)
  }

  get (table, key) {
    const row = this.#rows.get(`${table}//${key}`)
    return row?.value === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  #write (table, part, key, value, ver = ++this.#version) {
    const id = `${table}/${part}/${key}`
    this.#rows.delete(id)
    this.#rows.set(id, { table, part, key, value, ver, ...(value === undefined ? { tombstone: true } : {}) })
    return ver
  }

  async #answer (request, response) {
    const chunks = []
    request.on('error', () => {})
    response.on('error', () => {})
    for await (const chunk of request) chunks.push(chunk)
    await sleep(ANSWER_MS)
    if (this.mode === 'silent') return
    const url = new URL(request.url, 'http://store')
    if (url.pathname === '/rows-get') return this.#send(response, 200, this.#read(url.searchParams))
    if (url.pathname === '/rows-feed') return this.#feed(url.searchParams, response)
    if (url.pathname === '/rows-tx') return this.#transact(JSON.parse(Buffer.concat(chunks).toString()), response)
    this.#send(response, 404, {})
  }

  #read (query) {
    const [table, part, from, to, limit] = [query.get('table'), query.get('part') ?? '', query.get('from') ?? '', query.get('to'), Number(query.get('limit') ?? 500)]
    const found = [...this.#rows.values()]
      .filter(row => row.table === table && row.part === part && row.value !== undefined && row.key >= from && (to === null || row.key < to))
      .sort((left, right) => left.key < right.key ? -1 : 1)
    return { rows: found.slice(0, limit), 'has-more': found.length > limit, ...this.#newest() }
  }

  async #feed (query, response) {
    const after = Number(query.get('after-rev'))
    const end = performance.now() + Number(query.get('wait-ms'))
    for (;;) {
      if (this.mode === 'silent') return
      const rows = [...this.#rows.values()].filter(row => row.table === query.get('table') && row.ver > after).sort((left, right) => left.ver - right.ver)
      if (rows.length > 0 || performance.now() >= end || response.destroyed) return this.#send(response, 200, { rows, ...this.#newest() })
      await sleep(HISTORY_POLL_MS)
    }
  }

  #transact ({ 'if-rev': conditions = [], writes = [], remove = [] }, response) {
    const live = ({ table, part, key }) => {
      const row = this.#rows.get(`${table}/${part}/${key}`)
      return row?.value === undefined ? undefined : row
    }
    if (conditions.some(row => (live(row)?.ver ?? 0) !== row.ver)) {
      return this.#send(response, 412, { rows: conditions.map(live).filter(row => row !== undefined), ...this.#newest() })
    }
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return this.#send(response, 403, {})
    const ver = ++this.#version
    for (const { table, part, key, value } of writes) this.#write(table, part, key, value, ver)
    for (const { table, part, key } of remove) this.#write(table, part, key, undefined, ver)
    this.#send(response, 200, this.#newest())
  }

  #newest () {
    return { ver: this.#version, 'now-ms': Math.round(performance.now()) }
  }

  #send (response, status, body) {
    if (response.destroyed) return
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': '1' })
    response.end(JSON.stringify(body))
  }
}

export function sleep (ms) {
  return new Promise(resolve => setTimeout(resolve, ms))
}
