/** The agents and engines of the slot protocol's test world, and the steps that may happen to them. */
import { emptyState } from '../fold/emptyState.js'
import { noAbsences } from '../proposals/trackAbsences.js'
import { CLOCK_ERROR_MS } from '../rights/constants.js'

import type { Incarnation, InstanceName, LogOffset } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { Absences } from '../proposals/trackAbsences.js'

export interface Order {
  readonly kind: 'load' | 'unload'
  readonly slotIndex: number
  readonly fence: LogOffset
  /** Undefined until it has left the agent. */
  readonly expiresMs?: number
}

export interface Engine {
  readonly enforcesFence: boolean
  loaded: { readonly slotIndex: number, readonly fence: LogOffset } | undefined
  highestFence: number
}

export interface Agent {
  readonly name: InstanceName
  incarnation: Incarnation
  isRunning: boolean
  isPaused: boolean
  isCutOff: boolean
  /** The instance has been taken away with its engine. */
  isReclaimed: boolean
  isListed: boolean
  listed: 'present' | 'missing' | 'unknown'
  view: AgreedState
  confirmedAtMs: number
  startedAtMs: number
  reading: { readonly sentAtMs: number, readonly head: LogOffset } | undefined
  releasing: ReadonlySet<LogOffset>
  /** The process is being stopped and gives all its rights back. */
  isLeaving: boolean
  /** Orders of the running process that have not been carried out. */
  orders: readonly Order[]
  /** Orders that earlier runs of the process have sent, unknown to the present one. */
  strayOrders: readonly Order[]
  engine: Engine
}

export interface Proposer {
  readonly name: string
  readonly clockErrorMs: number
  view: AgreedState
  absences: Absences
}

/** What may happen next; `who` picks an agent, proposer or append, `n` a variant. */
export interface SlotStep {
  readonly kind: keyof typeof SLOT_STEPS
  readonly who: number
  readonly n: number
}

/** The steps and how often each is drawn. `turn` and `deliverAll` are whole rounds in which nothing goes wrong. */
export const SLOT_STEPS = {
  time: 6,
  turn: 20,
  deliverAll: 8,
  propose: 6,
  watch: 3,
  deliver: 5,
  lose: 1,
  readStart: 2,
  readEnd: 4,
  gossip: 2,
  act: 4,
  send: 3,
  engine: 4,
  readList: 2,
  pause: 2,
  resume: 5,
  kill: 1,
  leave: 2,
  restart: 4,
  reclaim: 1,
  replace: 3,
  listDrop: 3,
  listBack: 4,
  logDown: 1,
  logUp: 4,
  cut: 1,
  uncut: 3,
  maximum: 3,
  drain: 3
} as const

export const newEngine = (enforcesFence: boolean): Engine => ({ enforcesFence, loaded: undefined, highestFence: 0 })

export const newAgent = (name: string, enforcesFence: boolean): Agent => ({
  name: name as InstanceName,
  incarnation: 'i000' as Incarnation,
  isRunning: true,
  isPaused: false,
  isCutOff: false,
  isReclaimed: false,
  isListed: true,
  listed: 'unknown',
  view: emptyState,
  confirmedAtMs: -Infinity,
  startedAtMs: 0,
  reading: undefined,
  releasing: new Set(),
  isLeaving: false,
  orders: [],
  strayOrders: [],
  engine: newEngine(enforcesFence)
})

export const newProposers = (): readonly Proposer[] => [
  { name: 'r0', clockErrorMs: CLOCK_ERROR_MS, view: emptyState, absences: noAbsences },
  { name: 'r1', clockErrorMs: -CLOCK_ERROR_MS, view: emptyState, absences: noAbsences }
]
