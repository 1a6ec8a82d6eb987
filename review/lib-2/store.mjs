/** A stand-in for the platform's store: keyed topics of one partition, as PROTOCOL.md describes them. */
import { createServer } from 'node:http'
import { buffer } from 'node:stream/consumers'

const MAX_WAIT_MS = 30_000
const PAGE_SIZE = 500

const encodeRecord = (key, value) => {
  const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value])
  const length = Buffer.alloc(4)
  length.writeUInt32BE(content.length)
  return { key, value, bytes: Buffer.concat([length, content]) }
}

const decodeRecords = body => {
  const records = []
  for (let start = 4; start <= body.length;) {
    const content = body.subarray(start, start + body.readUInt32BE(start - 4))
    const keyEnd = 1 + (content[0] ?? 0)
    records.push(encodeRecord(content.subarray(1, keyEnd).toString(), Buffer.from(content.subarray(keyEnd))))
    start += content.length + 4
  }
  return records
}

const createTopic = () => ({ records: [], waiters: new Set() })

/** Starts a store on `host`, where runners write every `heartbeatMs`; `note` is called with what operators and runners write. */
export const startStore = async (host, heartbeatMs, note) => {
  const topics = new Map()
  const expiries = new Map()

  const topicOf = name => {
    const topic = topics.get(name) ?? createTopic()
    topics.set(name, topic)
    return topic
  }

  const append = (name, records) => {
    const topic = topicOf(name)
    const offset = topic.records.length
    topic.records.push(...records)
    for (const notify of [...topic.waiters]) notify()
    return { offset, end: topic.records.length }
  }

  /** Writes one key; without a value the key is dropped. */
  const put = (name, key, value) => {
    append(name, [encodeRecord(key, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)))])
    note(name, key, value)
  }

  /** Writes a runner's entry, which goes after three heartbeats of silence. */
  const putEntry = (id, entry) => {
    put('keyed.servers', id, entry)
    clearTimeout(expiries.get(id))
    expiries.set(id, setTimeout(() => { put('keyed.servers', id, undefined) }, 3 * heartbeatMs))
  }

  const answerRead = (topic, query, response) => {
    const from = Number(query.get('from'))
    if (from > topic.records.length) {
      response.writeHead(410).end(JSON.stringify({ first: 0 }))
      return
    }
    const send = () => {
      clearTimeout(timer)
      topic.waiters.delete(send)
      const head = Buffer.alloc(16)
      head.writeBigUInt64BE(BigInt(topic.records.length), 0)
      response.writeHead(200).end(Buffer.concat([head, ...topic.records.slice(from).map(({ bytes }) => bytes)]))
    }
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait-ms') ?? 0))
    const timer = setTimeout(send, from < topic.records.length ? 0 : waitMs)
    if (from >= topic.records.length) topic.waiters.add(send)
    response.once('close', () => {
      clearTimeout(timer)
      topic.waiters.delete(send)
    })
  }

  const answerNewest = (topic, query, response) => {
    const newest = new Map()
    for (const [offset, { key, value }] of topic.records.entries()) newest.set(key, { key, value, offset })
    const after = query.get('after') ?? ''
    const items = [...newest.values()]
      .filter(({ key, value }) => value.length > 0 && key > after)
      .sort((one, other) => one.key < other.key ? -1 : 1)
    const page = items.slice(0, PAGE_SIZE).map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }))
    response.writeHead(200).end(JSON.stringify({ items: page, 'has-more': items.length > page.length, end: topic.records.length }))
  }

  const answerAppend = (name, query, body, response) => {
    const at = query.get('at')
    const end = topicOf(name).records.length
    if (at !== null && Number(at) !== end) {
      response.writeHead(412).end(JSON.stringify({ end }))
      return
    }
    response.writeHead(200).end(JSON.stringify(append(name, decodeRecords(body))))
  }

  const handle = async (message, response) => {
    const { pathname, searchParams } = new URL(message.url, 'http://store')
    const body = await buffer(message)
    const name = searchParams.get('topic') ?? ''
    // How the stand-in runners write their entries; no call of the platform's page.
    if (pathname === '/runner-entry') {
      putEntry(searchParams.get('id'), JSON.parse(body.toString()))
      response.writeHead(200).end()
      return
    }
    if (pathname === '/-/log-read') return answerRead(topicOf(name), searchParams, response)
    if (pathname === '/-/log-newest') return answerNewest(topicOf(name), searchParams, response)
    if (pathname === '/-/log-append') return answerAppend(name, searchParams, body, response)
    response.writeHead(404).end()
  }

  const server = createServer((message, response) => { handle(message, response).catch(() => response.destroy()) })
  server.requestTimeout = 0
  server.keepAliveTimeout = 60_000
  await new Promise(resolve => { server.listen(0, host, resolve) })
  return {
    address: `${host}:${server.address().port}`,
    put,
    close: () => {
      for (const timer of expiries.values()) clearTimeout(timer)
      server.close()
      server.closeAllConnections()
    }
  }
}
