import { createClient } from '@connectrpc/connect'
import { Engine } from '@figmount/schema'
import { expect } from 'chai'

import { startForTest } from '../testing/startForTest.js'
import { expectedTokens } from './tokens.js'

import type { Client } from '@connectrpc/connect'
import type { GenerateChunk } from '@figmount/schema'
import type { StandinUnderTest } from '../testing/startForTest.js'

const LOAD_ORDER = { fence: 5n, orderDeadlineMs: 1000, model: 's/m', version: 'v1', memoryMb: 600, checkpointMb: 100 }
const GENERATE_REQUEST = { streamId: 'st-1', model: 's/m', version: 'v1', prompt: 'crack on the north wall', maxTokens: 6 }
const TOKEN_SOURCE = { model: 's/m', version: 'v1', adapter: '', prompt: GENERATE_REQUEST.prompt }

const codeOf = async (call: Promise<unknown>): Promise<string> =>
  await call.then(() => 'ok', (error: Error) => /\[(\w+)\]/.exec(error.message)?.[1] ?? error.message)

const collect = async (stream: AsyncIterable<GenerateChunk>): Promise<readonly string[]> => {
  const tokens: string[] = []
  for await (const chunk of stream) {
    expect(chunk.firstTokenIndex).to.equal(tokens.length)
    tokens.push(...chunk.tokens)
  }
  return tokens
}

const takeFirst = async (stream: AsyncIterable<GenerateChunk>): Promise<GenerateChunk> => {
  const first = await stream[Symbol.asyncIterator]().next()
  if (first.done) throw new Error('the stream ended without a chunk')
  return first.value
}

describe('engine stand-in', () => {
  let standin: StandinUnderTest
  let engine: Client<typeof Engine>
  const start = async (settings: object): Promise<void> => {
    standin = await startForTest({ kind: 'engine', memory_capacity_mb: 1000, token_interval_ms: 4, prefill_ms: 1, ...settings })
    engine = createClient(Engine, standin.transport)
  }
  beforeEach(async () => await start({}))
  afterEach(async () => await standin.stop())

  it('generates the expected tokens', async () => {
    await engine.load(LOAD_ORDER)
    expect(await collect(engine.generate(GENERATE_REQUEST))).to.deep.equal(expectedTokens(TOKEN_SOURCE, 6))
  })

  it('continues after tokens that were already generated', async () => {
    await engine.load(LOAD_ORDER)
    const all = expectedTokens(TOKEN_SOURCE, 6)
    const chunks: GenerateChunk[] = []
    for await (const chunk of engine.generate({ ...GENERATE_REQUEST, doneTokens: all.slice(0, 4) })) chunks.push(chunk)
    expect(chunks[0]?.firstTokenIndex).to.equal(4)
    expect(chunks.flatMap(chunk => chunk.tokens)).to.deep.equal(all.slice(4))
  })

  // The connection of a stream breaks after its first chunk. The caller loses the remaining tokens unless the engine continues the
  // stream and a new connection can resume it.
  it('resumes a stream whose connection broke', async () => {
    await engine.load(LOAD_ORDER)
    const breaking = new AbortController()
    await takeFirst(engine.generate(GENERATE_REQUEST, { signal: breaking.signal }))
    breaking.abort()
    expect(await collect(engine.resume({ streamId: 'st-1', fromTokenIndex: 0 }))).to.deep.equal(expectedTokens(TOKEN_SOURCE, 6))
    expect(await codeOf(takeFirst(engine.generate(GENERATE_REQUEST)))).to.equal('already_exists')
  })

  it('stops a cancelled stream', async () => {
    await engine.load(LOAD_ORDER)
    const stream = engine.generate({ ...GENERATE_REQUEST, maxTokens: 10_000 })
    const reading = codeOf(collect(stream))
    await engine.loadReport({})
    while (!(await engine.cancel({ streamId: 'st-1' })).wasRunning) await engine.loadReport({})
    expect(await reading).to.equal('aborted')
  })

  it('refuses a model that does not fit into memory', async () => {
    await engine.load(LOAD_ORDER)
    expect(await codeOf(engine.load({ ...LOAD_ORDER, model: 's/other' }))).to.equal('resource_exhausted')
    await engine.unload({ fence: 5n, model: 's/m' })
    expect(await codeOf(engine.load({ ...LOAD_ORDER, model: 's/other' }))).to.equal('ok')
    expect((await engine.inventory({})).memoryUsedMb).to.equal(600)
  })

  it('refuses an order with an older fence for the same model', async () => {
    await engine.load(LOAD_ORDER)
    expect(await codeOf(engine.unload({ fence: 4n, model: 's/m' }))).to.equal('failed_precondition')
    expect(await codeOf(engine.load({ ...LOAD_ORDER, fence: 1n, model: 's/small', memoryMb: 1 }))).to.equal('ok')
  })

  it('ignores fences when enforces_fence is false', async () => {
    await standin.stop()
    await start({ enforces_fence: 'false' })
    await engine.load(LOAD_ORDER)
    expect(await codeOf(engine.unload({ fence: 4n, model: 's/m' }))).to.equal('ok')
    expect((await engine.inventory({})).enforcesFence).to.equal(false)
  })

  it('does not start an order after its deadline', async () => {
    await standin.command({ action: 'slow', delayMs: 30 })
    expect(await codeOf(engine.load({ ...LOAD_ORDER, orderDeadlineMs: 5 }))).to.equal('deadline_exceeded')
    expect((await engine.inventory({})).models).to.have.length(0)
  })

  it('loads a model once for two concurrent orders', async () => {
    await Promise.all([engine.load(LOAD_ORDER), engine.load(LOAD_ORDER)])
    expect(standin.events().filter(event => event.name === 'loadStarted')).to.have.length(1)
  })

  it('serves higher priority first', async () => {
    await standin.stop()
    await start({ batch_size: 1 })
    await engine.load(LOAD_ORDER)
    const blocking = codeOf(collect(engine.generate({ ...GENERATE_REQUEST, streamId: 'first', maxTokens: 100_000 })))
    while (standin.events().every(event => event.name !== 'generateStarted')) await engine.inventory({})
    const waiting = [0, 9, 1].map(async priority => await collect(engine.generate({ ...GENERATE_REQUEST, streamId: `p${priority}`, priority })))
    while ((await engine.inventory({})).streamIds.length < 4) await engine.inventory({})
    await engine.cancel({ streamId: 'first' })
    await Promise.all([blocking, ...waiting])
    const started = standin.events().filter(event => event.name === 'generateStarted').map(event => event.attemptId)
    expect(started).to.deep.equal(['first', 'p9', 'p1', 'p0'])
  })

  it('resumes from an exported and imported KV cache', async () => {
    await engine.load(LOAD_ORDER)
    await collect(engine.generate(GENERATE_REQUEST))
    const { kv, tokenCount } = await engine.exportKv({ streamId: 'st-1' })
    expect(tokenCount).to.equal(6)
    await engine.importKv({ streamId: 'st-2', kv })
    expect(await collect(engine.generate({ ...GENERATE_REQUEST, streamId: 'st-2' }))).to.deep.equal(expectedTokens(TOKEN_SOURCE, 6))
  })
})
