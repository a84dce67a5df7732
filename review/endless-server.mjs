/**
 * A server that is sound until it is told to be in trouble; then its answers go on until their caller closes.
 * Arguments: its identifier, how it is in trouble, and the milliseconds that sound work takes.
 */

import * as net from 'node:net'

const BLOCK_BYTES = 64 * 1024
const EVENTS = 40
const ENDLESS_BLOCKS = {
  /** A body in chunks of one byte. */
  chunks: Buffer.from('1\r\nx\r\n'.repeat(BLOCK_BYTES / 6)),
  /** A body of line ends. */
  lines: Buffer.from('\n'.repeat(BLOCK_BYTES))
}
const ENDLESS_FRAMINGS = { chunks: 'Transfer-Encoding: chunked\r\n', lines: '' }

const [,, id, trouble, work] = process.argv
let isInTrouble = false
process.on('message', () => { isInTrouble = true })
process.on('disconnect', () => process.exit(0))

const server = net.createServer(socket => {
  let head = ''
  socket.on('error', () => {})
  socket.on('data', bytes => {
    head += bytes.toString('latin1')
    if (!head.includes('\r\n\r\n')) return
    const requestId = /^request-id: (\S+)/im.exec(head)?.[1]
    const isStream = /^POST \/stream\//.test(head)
    const isHealth = head.startsWith('GET /health ')
    head = ''
    if (isHealth) return socket.end(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nServer-Load: 0,0,64,100\r\nContent-Length: 0\r\n\r\n`)
    process.send({ runs: requestId, isInTrouble })
    answer(socket, requestId, isStream)
  })
})

function answer (socket, requestId, isStream) {
  const status = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: seal-of-${requestId}\r\nServer-Load: 8,0,64,100\r\nContent-Type: ${isStream ? 'text/event-stream' : 'text/plain'}\r\nConnection: close\r\n`
  if (isInTrouble) {
    socket.write(`${status}${ENDLESS_FRAMINGS[trouble]}\r\n`)
    return writeWithoutEnd(socket)
  }
  if (!isStream) return setTimeout(() => socket.end(`${status}Content-Length: 4\r\n\r\ndone`), Number(work))
  socket.write(`${status}\r\n`)
  let event = 0
  const timer = setInterval(() => {
    socket.write(`id: ${++event}\ndata: token\n\n`)
    if (event === EVENTS) socket.end()
  }, Number(work) / EVENTS)
  socket.on('close', () => clearInterval(timer))
}

function writeWithoutEnd (socket) {
  while (!socket.destroyed && socket.write(ENDLESS_BLOCKS[trouble]));
  if (!socket.destroyed) socket.once('drain', () => writeWithoutEnd(socket))
}

server.listen(0, '127.0.0.1', () => process.send({ address: `127.0.0.1:${server.address().port}` }))
