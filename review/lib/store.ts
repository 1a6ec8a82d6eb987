import { headerOf, listenOn, readBody } from './http.js'

import type { IncomingMessage, ServerResponse } from 'node:http'

/** A record of a keyed topic: its key, and its bytes as the log holds them (length of the key, key, value). */
interface StoredRecord {
  readonly key: string
  readonly value: Buffer
  readonly content: Buffer
}

/** The platform's store, as far as figmount uses it: keyed topics of one partition, whose records never expire here. */
export interface Store {
  readonly address: string
  readonly put: (topic: string, key: string, value: object) => void
  readonly remove: (topic: string, key: string) => void
  readonly close: () => void
}

const PAGE_HEADER_BYTES = 16
const LENGTH_BYTES = 4
const MAX_WAIT_MS = 30_000

const encode = (key: string, value: Buffer): StoredRecord => {
  const keyBytes = Buffer.from(key)
  return { key, value, content: Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]) }
}

const decodeAll = (body: Buffer): readonly StoredRecord[] => {
  const records: StoredRecord[] = []
  for (let at = 0; at + LENGTH_BYTES <= body.length;) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at)
    const content = body.subarray(at + LENGTH_BYTES, end)
    const keyEnd = 1 + (content[0] ?? 0)
    records.push({ key: content.subarray(1, keyEnd).toString(), value: content.subarray(keyEnd), content })
    at = end
  }
  return records
}

const encodePage = (records: readonly StoredRecord[], from: number): Buffer => {
  const header = Buffer.alloc(PAGE_HEADER_BYTES)
  header.writeBigUInt64BE(BigInt(records.length), 0)
  const parts: Uint8Array[] = [header]
  for (const { content } of records.slice(from)) {
    const length = Buffer.alloc(LENGTH_BYTES)
    length.writeUInt32BE(content.length)
    parts.push(length, content)
  }
  return Buffer.concat(parts)
}

/** Starts a store on a loopback address. */
export const startStore = async (host: string): Promise<Store> => {
  const topics = new Map<string, StoredRecord[]>()
  const waiters = new Set<() => void>()

  const recordsOf = (topic: string): StoredRecord[] => {
    const records = topics.get(topic) ?? []
    topics.set(topic, records)
    return records
  }

  const append = (topic: string, added: readonly StoredRecord[]): void => {
    recordsOf(topic).push(...added)
    for (const wake of [...waiters]) wake()
  }

  const sendJson = (response: ServerResponse, status: number, body: object): void => {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }

  const answerRead = (topic: string, query: URLSearchParams, response: ServerResponse): void => {
    const from = Number(query.get('from') ?? 0)
    const endMs = performance.now() + Math.min(MAX_WAIT_MS, Number(query.get('wait-ms') ?? 0))
    const review = (): void => {
      if (recordsOf(topic).length <= from && performance.now() < endMs) return
      waiters.delete(review)
      clearInterval(timer)
      if (!response.destroyed) response.writeHead(200).end(encodePage(recordsOf(topic), from))
    }
    const timer = setInterval(review, 100)
    waiters.add(review)
    review()
  }

  const answerNewest = (topic: string, response: ServerResponse): void => {
    const records = recordsOf(topic)
    const offsets = new Map(records.map(({ key }, offset) => [key, offset]))
    const items: object[] = []
    for (const [key, offset] of offsets) {
      const value = records[offset]?.value
      if (value && value.length > 0) items.push({ key, value: value.toString('base64'), offset })
    }
    sendJson(response, 200, { items, 'has-more': false, end: records.length })
  }

  const handle = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(message.url ?? '/', `http://${headerOf(message, 'host')}`)
    const topic = url.searchParams.get('topic') ?? ''
    const body = await readBody(message)
    if (url.pathname === '/-/log-read') return answerRead(topic, url.searchParams, response)
    if (url.pathname === '/-/log-newest') return answerNewest(topic, response)
    if (url.pathname !== '/-/log-append') return sendJson(response, 404, {})
    const offset = recordsOf(topic).length
    const at = url.searchParams.get('at')
    if (at !== null && Number(at) !== offset) return sendJson(response, 412, { end: offset })
    append(topic, decodeAll(body))
    sendJson(response, 200, { offset, end: recordsOf(topic).length })
  }

  const { server, address } = await listenOn((message, response) => {
    handle(message, response).catch(() => { response.destroy() })
  }, host)
  return {
    address,
    put: (topic, key, value) => { append(topic, [encode(key, Buffer.from(JSON.stringify(value)))]) },
    remove: (topic, key) => { append(topic, [encode(key, Buffer.alloc(0))]) },
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
