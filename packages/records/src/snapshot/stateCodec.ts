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

const FORMAT = 1
const packr = new Packr({ useRecords: false, moreTypes: false })

type RightRow = readonly [RightId, RightState['status'], RightState['holder'], RightState['incarnation'], number, number, number, number]

/** A snapshot's content. Arrays keep the order of each collection, which bounds are cut by. */
interface Stored {
  readonly format: typeof FORMAT
  readonly nextOffset: number
  readonly asOfMs: number
  readonly items: readonly ConfigVersion[]
  readonly history: ReadonlyArray<readonly ConfigVersion[]>
  readonly agents: readonly AgentFacts[]
  readonly rights: readonly RightRow[]
  readonly suspects: readonly Suspect[]
  readonly recentRecordIds: readonly string[]
}

const rowOf = (right: RightState): RightRow =>
  [right.id, right.status, right.holder, right.incarnation, right.fence, right.tenureFromMs, right.keysFromMs, right.grantableFromMs]

const rightOf = ([id, status, holder, incarnation, fence, tenureFromMs, keysFromMs, grantableFromMs]: RightRow): RightState => {
  const key = parseRightId(id)
  if (!key) throw new Error(`malformed right ${id}`)
  return { id, key, status, holder, incarnation, fence: fence as LogOffset, tenureFromMs, keysFromMs, grantableFromMs }
}

/** A state as bytes: msgpack, deflated. */
export const encodeState = (state: AgreedState): Uint8Array => {
  const stored: Stored = {
    format: FORMAT,
    nextOffset: state.nextOffset,
    asOfMs: state.asOfMs,
    items: [...state.items.values()],
    history: [...state.history.values()],
    agents: [...state.agents.values()],
    rights: [...state.rights.values()].map(rowOf),
    suspects: [...state.suspects.values()],
    recentRecordIds: [...state.recentRecordIds]
  }
  return deflateSync(packr.pack(stored), { level: 1 })
}

const restore = (stored: Stored): AgreedState => {
  if (stored.format !== FORMAT) throw new Error(`unknown format ${String(stored.format)}`)
  return {
    nextOffset: stored.nextOffset as LogOffset,
    asOfMs: stored.asOfMs,
    items: new Map(stored.items.map(version => [version.item, version])),
    history: new Map(stored.history.flatMap(versions => versions[0] ? [[versions[0].item, versions]] : [])),
    agents: new Map(stored.agents.map(agent => [agent.instance, agent])),
    rights: new Map(stored.rights.map(row => [row[0], rightOf(row)])),
    suspects: new Map(stored.suspects.map(suspect => [suspect.fingerprint, suspect])),
    recentRecordIds: new Set(stored.recentRecordIds)
  }
}

/** Reads a state back; the Left says what is wrong with the bytes. */
export const decodeState = (bytes: Uint8Array): Either<string, AgreedState> =>
  Either.encase(() => restore(packr.unpack(inflateSync(bytes, { maxOutputLength: MAX_STATE_BYTES })) as Stored))
    .mapLeft(error => error.message)
