import { once } from 'node:events'
import { createServer } from 'node:net'
import { create, toBinary } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { AnswerFrameSchema, Inference, InstanceList, InstanceRole, ListResponseSchema } from '@figmount/schema'
import { expect } from 'chai'

import { createTransport } from './createTransport.js'

import type { AddressInfo, Server } from 'node:net'

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n'
const UNARY = 'Content-Type: application/proto\r\n'
const STREAM = 'Content-Type: application/connect+proto\r\n'

const list = (...names: readonly string[]): Uint8Array =>
  toBinary(ListResponseSchema, create(ListResponseSchema, { instances: names.map(name => ({ name, role: InstanceRole.AGENT })) }))

const frame = (number: number): Uint8Array => {
  const message = toBinary(AnswerFrameSchema, create(AnswerFrameSchema, { number }))
  const head = Buffer.alloc(5)
  head.writeUInt32BE(message.length, 1)
  return Buffer.concat([head, message])
}

describe('the end of an RPC\'s answer', () => {
  let server: Server
  let bytes: Uint8Array

  const transport = () => createTransport({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` })

  const readList = async (headers: string, body: Uint8Array): Promise<readonly string[] | 'fault'> => {
    bytes = Buffer.concat([Buffer.from(`${HEAD}${UNARY}${headers}\r\n`), body])
    return await createClient(InstanceList, transport()).list({}).then(({ instances }) => instances.map(({ name }) => name), () => 'fault')
  }

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => { socket.end(bytes) })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => { server.close() })

  it('is not the end of its connection', async () => {
    // Guards against a list of instances cut between two of them: those behind the cut would count as gone.
    const part = list('a', 'b')
    expect(await readList('', part)).to.equal('fault')
    expect(await readList('Transfer-Encoding: gzip\r\n', part)).to.equal('fault')
    expect(await readList('Content-Length: 99\r\n', part)).to.equal('fault')
    expect(await readList('Transfer-Encoding: chunked\r\n', Buffer.concat([Buffer.from('99\r\n'), part]))).to.equal('fault')
  })

  it('is its length or its last chunk', async () => {
    const whole = list('a', 'b')
    expect(await readList(`Content-Length: ${whole.length}\r\n`, whole)).to.deep.equal(['a', 'b'])
    const chunk = Buffer.concat([Buffer.from(`${whole.length.toString(16)}\r\n`), whole, Buffer.from('\r\n0\r\n\r\n')])
    expect(await readList('Transfer-Encoding: chunked\r\n', chunk)).to.deep.equal(['a', 'b'])
  })

  it('is the last message of a stream', async () => {
    // Guards against a stream that counts as whole as its connection was closed between two frames.
    bytes = Buffer.concat([Buffer.from(`${HEAD}${STREAM}\r\n`), frame(0), frame(1)])
    const numbers: number[] = []
    const read = async (): Promise<string> => {
      for await (const { number } of createClient(Inference, transport()).infer({})) numbers.push(number)
      return 'whole'
    }
    expect(await read().catch(() => 'fault')).to.equal('fault')
    expect(numbers).to.deep.equal([0, 1])
  })
})
