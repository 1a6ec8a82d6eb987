import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { RefusalReason } from '@figmount/schema'
import { expect } from 'chai'

import { notRun } from '../requests/refusals.js'
import { forwardAnswer, sendRefusal } from './answerPlain.js'

import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

describe('an answer to a plain call', () => {
  let server: Server

  /** Returns the bytes of an answer. */
  const callRaw = async (respond: (response: ServerResponse) => void, method = 'GET', version = '1.1'): Promise<string> => {
    server = createServer((_request, response) => { respond(response) }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    let bytes = ''
    socket.on('data', data => { bytes += String(data) })
    socket.write(`${method} / HTTP/${version}\r\nHost: h\r\nConnection: close\r\n\r\n`)
    await once(socket, 'close')
    server.close()
    return bytes
  }

  const headers: ReadonlyArray<readonly [string, string]> = [['x-answer', 'yes'], ['content-length', '99'], ['transfer-encoding', 'chunked']]
  const forward = (status: number, text: string) => (response: ServerResponse): void => { forwardAnswer(response, { status, headers, body: Buffer.from(text) }) }
  const refuse = (response: ServerResponse): void => { sendRefusal(response, notRun({ reason: RefusalReason.INVALID, detail: 'ä', step: 's' })) }

  it('names its length, to callers of HTTP/1.0 as well', async () => {
    // Guards against half an answer that looks whole to a caller whose router was killed, as it ends with its connection.
    for (const version of ['1.1', '1.0']) {
      expect(await callRaw(forward(200, 'whole'), 'GET', version)).to.match(/\r\nx-answer: yes\r\n[^]*content-length: 5\r\n[^]*\r\n\r\nwhole$/i)
      expect(await callRaw(forward(200, ''), 'GET', version)).to.match(/\r\ncontent-length: 0\r\n/i)
      const refusal = await callRaw(refuse, 'GET', version)
      const [head = '', body = ''] = refusal.split('\r\n\r\n')
      expect(head.toLowerCase().split('\r\n')).to.include(`content-length: ${Buffer.byteLength(body)}`)
    }
  })

  it('names no length where it has no body', async () => {
    // Guards against a length of 0 for an answer to HEAD whose GET has a body, and one that 204 may not have.
    expect(await callRaw(forward(200, ''), 'HEAD')).to.match(/^HTTP\/1\.1 200 /).and.not.match(/content-length|chunked/i)
    for (const status of [204, 304]) expect(await callRaw(forward(status, ''))).to.match(/^HTTP\/1\.1 [23]04 /).and.not.match(/content-length|chunked/i)
  })
})
