import { expect } from 'chai'
import { Either } from 'purify-ts'
import { makeFault } from '@figmount/base'

import { makeServerEntry } from '../testing/makeServerEntry.js'
import { createListChanges } from './createListChanges.js'

import type { FeedRecord, ServerEntry } from '@figmount/fleet'
import type { ListChanges } from './createListChanges.js'

const ENTRY = makeServerEntry('a', { startedAtUnixMs: 1 })

const recordOf = (given: Partial<ServerEntry> = {}, offset = 0): FeedRecord =>
  ({ key: 'a', value: Buffer.from(JSON.stringify({ ...ENTRY, ...given })), offset })

const setUp = (hasAgentState = true): ListChanges => createListChanges({
  decodeServer: (key, bytes) => Either.encase(() => JSON.parse(Buffer.from(bytes).toString()) as ServerEntry)
    .mapLeft(error => makeFault('invalid', 'decode', key, error.message)),
  hasAgentState: () => hasAgentState
})

const isChange = (changes: ListChanges, record: FeedRecord): boolean => changes.take([record]).length === 1

describe('changes of the list', () => {
  it('include a new server, one that leaves, one that has restarted and one that is gone', () => {
    const changes = setUp()
    expect(isChange(changes, recordOf())).to.equal(true)
    expect(isChange(changes, recordOf({ isDraining: true }))).to.equal(true)
    expect(isChange(changes, recordOf({ startedAtUnixMs: 2 }))).to.equal(true)
    expect(isChange(changes, { key: 'a', value: undefined, offset: 0 })).to.equal(true)
  })

  it('include neither a renewed entry nor the removal of an unknown server', () => {
    const changes = setUp()
    changes.take([recordOf()])
    expect(isChange(changes, recordOf())).to.equal(false)
    expect(isChange(changes, { key: 'b', value: undefined, offset: 0 })).to.equal(false)
  })

  it('include the next record of each server after the store has come back from an older copy', () => {
    // Guards against a server that one router knows to have left and the reader of the list does not: its renewed entry was not passed on.
    const changes = setUp()
    changes.take([recordOf()])
    changes.reset()
    expect(isChange(changes, recordOf())).to.equal(true)
  })

  it('are told from the newest record, whichever comes last', () => {
    // Guards against an entry that is not passed on as it equals an older one that came late: the others keep the one between them.
    const changes = setUp()
    changes.take([recordOf({ isDraining: true }, 7)])
    expect(isChange(changes, recordOf({}, 4))).to.equal(false)
    expect(isChange(changes, recordOf({}, 9))).to.equal(true)
    changes.take([{ key: 'a', value: undefined, offset: 12 }])
    expect(isChange(changes, recordOf({}, 11))).to.equal(false)
    expect(isChange(changes, recordOf({}, 13))).to.equal(true)
  })

  it('include an entry that has become unreadable', () => {
    const changes = setUp()
    changes.take([recordOf()])
    expect(isChange(changes, { key: 'a', value: Buffer.from('{'), offset: 0 })).to.equal(true)
  })

  it('include a change of a server\'s models only if no agent reports its state', () => {
    const models = [{ name: 'm', adapters: [] }]
    for (const hasAgentState of [true, false]) {
      const changes = setUp(hasAgentState)
      changes.take([recordOf()])
      expect(isChange(changes, recordOf({ models }))).to.equal(!hasAgentState)
    }
  })
})
