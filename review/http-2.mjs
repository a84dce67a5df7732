/** Heads of HTTP messages on plain sockets, for callers and servers that choose each byte. */

import http from 'node:http'

import { HOST, KEY } from './deployment-2.mjs'

let requests = 0

export function newRequestId (name = 'request') {
  return `${name}-${String(++requests).padStart(5, '0')}`
}

export function requestHead ({ method = 'POST', path, id, deadline, length, headers = {} }) {
  const fields = { Host: HOST, 'Request-Id': id, 'Deadline-Ms': deadline, Authorization: `Bearer ${KEY}`, ...(length === undefined ? {} : { 'Content-Length': length }), ...headers }
  return `${method} ${path} HTTP/1.1\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`
}

/** Sends a request as a sound caller. Resolves to the status, headers and body, or to the error that ended it. */
export function call (instance, { method = 'POST', path, id = newRequestId(), deadline = 4000, body = 'a body', agent, headers = {} }) {
  return new Promise(resolve => {
    const startedAt = performance.now()
    const settle = outcome => resolve({ id, path, startedAt, endedAt: performance.now(), ...outcome })
    const request = http.request({ host: instance.host, port: instance.frontPort, method, path, agent, headers: { Host: HOST, 'Request-Id': id, 'Deadline-Ms': String(deadline), Authorization: `Bearer ${KEY}`, ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }), ...headers } })
    const timer = setTimeout(() => request.destroy(new Error('the caller left at its deadline')), deadline + 500)
    request.on('error', error => {
      clearTimeout(timer)
      settle({ status: 0, error: error.code ?? error.message })
    })
    request.on('response', response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', () => {})
      response.on('close', () => {
        clearTimeout(timer)
        settle({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks), isComplete: response.complete })
      })
    })
    request.end(method === 'GET' ? undefined : body)
  })
}
