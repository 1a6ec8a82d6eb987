import { expect } from 'chai'
import { Either } from 'purify-ts'
import { makeFault } from '@figmount/base'

import { createListChanges } from './createListChanges.js'

import type { FeedRecord, ServerEntry } from '@figmount/fleet'
import type { ListChanges } from './createListChanges.js'

const ENTRY: ServerEntry =
  { serverId: 'a', startedAtUnixMs: 1, serviceName: 's', address: 'a:1', dataCentre: 'east', slots: 1, isDraining: false, models: [] }

const recordOf = (given: Partial<ServerEntry> = {}): FeedRecord =>
  ({ key: 'a', value: Buffer.from(JSON.stringify({ ...ENTRY, ...given })), offset: 0 })

const setUp = (hasAgentState = true): ListChanges => createListChanges({
  decodeServer: (key, bytes) => Either.encase(() => JSON.parse(Buffer.from(bytes).toString()) as ServerEntry)
    .mapLeft(error => makeFault('invalid', 'decode', key, error.message)),
  hasAgentState: () => hasAgentState
})

const isChange = (changes: ListChanges, record: FeedRecord): boolean => changes.take([record]).length === 1

describe('news of the list', () => {
  it('are a new server, one that leaves, one that started again and one that is gone', () => {
    const news = setUp()
    expect(isChange(news, recordOf())).to.equal(true)
    expect(isChange(news, recordOf({ isDraining: true }))).to.equal(true)
    expect(isChange(news, recordOf({ startedAtUnixMs: 2 }))).to.equal(true)
    expect(isChange(news, { key: 'a', value: undefined, offset: 0 })).to.equal(true)
  })

  it('are not that a server lives, nor that an unknown one is gone', () => {
    const news = setUp()
    news.take([recordOf()])
    expect(isChange(news, recordOf())).to.equal(false)
    expect(isChange(news, { key: 'b', value: undefined, offset: 0 })).to.equal(false)
  })

  it('are an entry that can no longer be read', () => {
    const news = setUp()
    news.take([recordOf()])
    expect(isChange(news, { key: 'a', value: Buffer.from('{'), offset: 0 })).to.equal(true)
  })

  it('are other models only where no agent tells of them', () => {
    const models = [{ name: 'm', adapters: [] }]
    for (const hasAgentState of [true, false]) {
      const news = setUp(hasAgentState)
      news.take([recordOf()])
      expect(isChange(news, recordOf({ models }))).to.equal(!hasAgentState)
    }
  })
})
