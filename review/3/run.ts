import { playSpoiledAnswers } from '../lib/spoiledAnswers.js'
import { playCase } from '../lib/system.js'

const BODY = 'id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n'

/** A sound answer but for one byte of its head: a space in the name of a header, where a hyphen belongs. */
const spoilName = (requestId: string): string =>
  `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: seal-e-one\r\nWeight Versions: 1\r\nContent-Type: text/event-stream\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`

/** No answer to a request that asks for no upgrade: its first line names the status 101, with no protocol to change to. */
const spoilStatus = (requestId: string): string =>
  `HTTP/1.1 101 Switching Protocols\r\nRequest-Id: ${requestId}\r\nServer-Seal: seal-e-one\r\n\r\n`

const spoil = process.env.VARIANT === 'status' ? spoilStatus : spoilName

await playCase('review/3/record.txt', async bench => await playSpoiledAnswers(bench, spoil))
