/** Callers that write their requests byte by byte and read every byte of the answers. */
import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'

const HEAD_END = '\r\n\r\n'

export const makeRequestId = () => randomBytes(8).toString('hex')

const joinChunks = text => {
  let body = ''
  let position = 0
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position)
    const count = lineEnd === -1 ? NaN : parseInt(text.slice(position, lineEnd), 16)
    if (Number.isNaN(count)) return { body, isWhole: false }
    const start = lineEnd + 2
    if (count === 0) return { body, isWhole: text.startsWith('\r\n', start) }
    body += text.slice(start, start + count)
    position = start + count + 2
    if (position > text.length) return { body, isWhole: false }
  }
}

/** The answer as a caller that follows HTTP/1.1 takes it. */
const parseAnswer = (text, isReset) => {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd === -1) return { status: 0, headers: {}, framing: 'none', body: '', isWhole: false }
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n')
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const rest = text.slice(headEnd + HEAD_END.length)
  const status = Number(statusLine.split(' ')[1])
  if (headers['transfer-encoding'] === 'chunked') return { status, headers, framing: 'chunks', ...joinChunks(rest) }
  const length = headers['content-length']
  if (length !== undefined) return { status, headers, framing: 'length', body: rest, isWhole: rest.length === Number(length) }
  return { status, headers, framing: 'close', body: rest, isWhole: !isReset }
}

/** Sends one request on a connection of its own; resolves with the answer, with status 0 if none came. */
export const call = async (address, { method = 'GET', path, requestId, headers = {}, body = '', deadlineMs = 3_000, host = 'site.example' }) => await new Promise(resolve => {
  const [targetHost, port] = address.split(':')
  const startedMs = performance.now()
  const socket = connect({ host: targetHost, port: Number(port) })
  let text = ''
  let isReset = false
  const all = { Host: host, 'Request-Id': requestId, 'Deadline-Ms': deadlineMs, Connection: 'close', 'Content-Length': body.length, ...headers }
  const head = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  const timer = setTimeout(() => { socket.destroy() }, deadlineMs + 1_000)
  socket.on('data', bytes => { text += bytes.toString('latin1') })
  socket.on('error', () => { isReset = true })
  socket.on('close', () => {
    clearTimeout(timer)
    resolve({ ...parseAnswer(text, isReset), tookMs: Math.round(performance.now() - startedMs) })
  })
  socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`)
})
