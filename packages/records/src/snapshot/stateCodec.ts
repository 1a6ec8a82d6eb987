import { deflateSync, inflateSync } from 'node:zlib'
import { Packr } from 'msgpackr'
import { Either } from 'purify-ts'

import { MAX_STATE_BYTES } from './constants.js'
import { parseRightId } from '../rights/rightId.js'

import type { LogOffset } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { ConfigVersion } from '../config/types.js'
import type { AgreedState } from '../fold/types.js'
import type { RightId, RightState } from '../rights/types.js'
import type { Suspect } from '../suspects/types.js'

const FORMAT_VERSION = 1
const packr = new Packr({ useRecords: false, moreTypes: false })

type RightRow = readonly [RightId, RightState['status'], RightState['holder'], RightState['incarnation'], number, number, number, number]

/** The content of a snapshot. Arrays preserve the order of each collection, because limits drop the oldest entries first. */
interface StoredState {
  readonly format: typeof FORMAT_VERSION
  readonly nextOffset: number
  readonly asOfMs: number
  readonly items: readonly ConfigVersion[]
  readonly history: ReadonlyArray<readonly ConfigVersion[]>
  readonly agents: readonly AgentFacts[]
  readonly rights: readonly RightRow[]
  readonly suspects: readonly Suspect[]
  readonly recentRecordIds: readonly string[]
}

const toRightRow = (right: RightState): RightRow =>
  [right.id, right.status, right.holder, right.incarnation, right.fence, right.tenureFromMs, right.keysFromMs, right.grantableFromMs]

const fromRightRow = ([id, status, holder, incarnation, fence, tenureFromMs, keysFromMs, grantableFromMs]: RightRow): RightState => {
  const key = parseRightId(id)
  if (!key) throw new Error(`malformed right ${id}`)
  return { id, key, status, holder, incarnation, fence: fence as LogOffset, tenureFromMs, keysFromMs, grantableFromMs }
}

/** Encodes a state as deflated msgpack. */
export const encodeState = (state: AgreedState): Uint8Array => {
  const stored: StoredState = {
    format: FORMAT_VERSION,
    nextOffset: state.nextOffset,
    asOfMs: state.asOfMs,
    items: [...state.items.values()],
    history: [...state.history.values()],
    agents: [...state.agents.values()],
    rights: [...state.rights.values()].map(toRightRow),
    suspects: [...state.suspects.values()],
    recentRecordIds: [...state.recentRecordIds]
  }
  return deflateSync(packr.pack(stored), { level: 1 })
}

const restoreState = (stored: StoredState): AgreedState => {
  if (stored.format !== FORMAT_VERSION) throw new Error(`unknown format ${String(stored.format)}`)
  return {
    nextOffset: stored.nextOffset as LogOffset,
    asOfMs: stored.asOfMs,
    items: new Map(stored.items.map(version => [version.item, version])),
    history: new Map(stored.history.flatMap(versions => versions[0] ? [[versions[0].item, versions]] : [])),
    agents: new Map(stored.agents.map(agent => [agent.instance, agent])),
    rights: new Map(stored.rights.map(row => [row[0], fromRightRow(row)])),
    suspects: new Map(stored.suspects.map(suspect => [suspect.fingerprint, suspect])),
    recentRecordIds: new Set(stored.recentRecordIds)
  }
}

/** Decodes a state; the Left gives the reason if the bytes are malformed. */
export const decodeState = (bytes: Uint8Array): Either<string, AgreedState> =>
  Either.encase(() => restoreState(packr.unpack(inflateSync(bytes, { maxOutputLength: MAX_STATE_BYTES })) as StoredState))
    .mapLeft(error => error.message)
