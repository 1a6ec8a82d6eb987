import { expect } from 'chai'

import { proposeMoves } from './proposeMoves.js'
import { proposeRights } from './proposeRights.js'
import { sumPromisedMemory } from './sumPromisedMemory.js'
import { emptyState } from '../fold/emptyState.js'
import { foldRecords } from '../fold/foldRecords.js'
import { rightIdOf } from '../rights/rightId.js'
import { agentUp, placeAll, setConfig } from '../testing/records.js'

import type { InstanceName } from '@figmount/base'
import type { AgreedState, LogRecord } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { MoveOptions } from './types.js'

const CAPACITY_MB = 100
const AGENTS = ['a1', 'a2', 'a3', 'a4']
const DAY_MS = 86_400_000
const ROUND_LIMIT = 100

const options: MoveOptions = { mayPropose: () => true, isLoaded: () => false }
const listed = (names: readonly string[]) => names.map(name => ({ name: name as InstanceName, leaving: false }))

let counter = 0
const fold = (state: AgreedState, records: ReadonlyArray<LogRecord | NewRecord>): AgreedState => {
  const whole = records.map(record => ({ recordId: `m${counter++}`, writer: 'r1', ...record }) as LogRecord)
  return foldRecords(state, placeAll(whole, state.nextOffset)).state
}

const agent = (name: string): LogRecord => ({ ...agentUp(name, 'i1'), memoryCapacityMb: CAPACITY_MB } as LogRecord)

const service = (count: number, memoryMb: number) => ({
  kind: 'models',
  models: Array.from({ length: count }, (_, index) => ({
    name: `m${index}`, versions: ['v1'], currentVersion: 'v1', minReplicas: 0, maxReplicas: 1, memoryMb, checkpointMb: 1
  }))
})

/** Grants all rights while only some agents are up, as on a site before more runners are added. */
const grantAllTo = (modelCount: number, memoryMb: number, present: readonly string[]): AgreedState => {
  const state = fold(emptyState, [setConfig('service/reader', 0, service(modelCount, memoryMb)), ...present.map(agent)])
  return fold(state, proposeRights(state, listed(present), options, DAY_MS))
}

const release = (state: AgreedState, revokes: readonly NewRecord[]): readonly LogRecord[] =>
  revokes.flatMap(record => {
    if (record.kind !== 'right.revoke') return []
    const right = state.rights.get(rightIdOf(record.right))
    return [{ ...record, kind: 'right.release', recordId: `x${counter++}`, writer: right?.holder, writerIncarnation: 'i1' } as unknown as LogRecord]
  })

interface StableState {
  readonly state: AgreedState
  readonly moveCount: number
}

const moveUntilStable = (start: AgreedState): StableState => {
  let state = start
  let moveCount = 0
  for (let round = 0; round < ROUND_LIMIT; round += 1) {
    const moves = proposeMoves(state, listed(AGENTS), options)
    if (moves.length === 0) return { state, moveCount }
    moveCount += moves.length
    const revoked = fold(state, moves)
    const freed = fold(revoked, release(revoked, moves))
    state = fold(freed, proposeRights(freed, listed(AGENTS), options, DAY_MS))
  }
  throw new Error('moves are still proposed after the last round')
}

describe('moves of slots', () => {
  // An operator adds two runners to a full site after all slots were granted. Without moves, two agents
  // would constantly evict and reload models while the new ones stay empty.
  it('go to agents that came up after all slots were granted, and terminate', () => {
    const grown = fold(grantAllTo(20, 20, ['a1', 'a2']), [agent('a3'), agent('a4')])
    expect(Math.max(...sumPromisedMemory(grown).values())).to.equal(200)
    const { state, moveCount } = moveUntilStable(grown)
    expect([...sumPromisedMemory(state).values()]).to.deep.equal([100, 100, 100, 100])
    expect(moveCount).to.equal(10)
  })

  it('are not proposed while all slots fit', () => {
    const state = fold(grantAllTo(8, 20, ['a1', 'a2']), [agent('a3'), agent('a4')])
    expect(proposeMoves(state, listed(AGENTS), options)).to.deep.equal([])
  })

  it('are not proposed until every slot is granted', () => {
    const state = fold(grantAllTo(20, 20, ['a1', 'a2']), [agent('a3')])
    const moves = proposeMoves(state, listed(AGENTS), options)
    expect(moves).to.have.length(4)
    expect(proposeMoves(fold(state, moves), listed(AGENTS), options)).to.deep.equal([])
  })

  it('prefer slots that are not loaded', () => {
    const state = fold(grantAllTo(20, 20, ['a1', 'a2']), [agent('a3')])
    const coldModels = new Set(['reader/m4', 'reader/m7', 'reader/m11', 'reader/m13'])
    const moves = proposeMoves(state, listed(AGENTS), { ...options, isLoaded: (_, target) => !coldModels.has(target) })
    const targets = moves.map(move => move.kind === 'right.revoke' && move.right.target)
    expect(new Set(targets)).to.deep.equal(coldModels)
  })
})
