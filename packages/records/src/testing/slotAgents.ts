/** The agents and engines of the slot protocol's simulation, and the steps that it can take. */
import { emptyState } from '../fold/emptyState.js'
import { noAbsences } from '../proposals/trackAbsences.js'
import { MAX_CLOCK_ERROR_MS } from '../rights/constants.js'

import type { Incarnation, InstanceName, LogOffset } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { Absences } from '../proposals/trackAbsences.js'

export interface Order {
  readonly kind: 'load' | 'unload'
  readonly slotIndex: number
  readonly fence: LogOffset
  /** Undefined until the order has been sent. */
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
  /** The platform has removed the instance, including its engine. */
  isReclaimed: boolean
  isListed: boolean
  listed: 'present' | 'missing' | 'unknown'
  view: AgreedState
  confirmedAtMs: number
  startedAtMs: number
  reading: { readonly sentAtMs: number, readonly head: LogOffset } | undefined
  releasing: ReadonlySet<LogOffset>
  /** The process is being stopped and releases all its rights. */
  isLeaving: boolean
  /** Orders of the running process that have not been executed yet. */
  orders: readonly Order[]
  /** Orders that earlier runs of the process sent, which the current one does not know. */
  orphanedOrders: readonly Order[]
  engine: Engine
}

export interface Proposer {
  readonly name: string
  readonly clockErrorMs: number
  view: AgreedState
  absences: Absences
}

/** One step; `who` selects an agent, proposer or append, `n` a variant of the step. */
export interface SlotStep {
  readonly kind: keyof typeof SLOT_STEPS
  readonly who: number
  readonly n: number
}

/** The kinds of step and the relative frequency of each. `turn` and `deliverAll` are complete rounds without faults. */
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

export const createEngine = (enforcesFence: boolean): Engine => ({ enforcesFence, loaded: undefined, highestFence: 0 })

export const createAgent = (name: string, enforcesFence: boolean): Agent => ({
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
  orphanedOrders: [],
  engine: createEngine(enforcesFence)
})

export const createProposers = (): readonly Proposer[] => [
  { name: 'r0', clockErrorMs: MAX_CLOCK_ERROR_MS, view: emptyState, absences: noAbsences },
  { name: 'r1', clockErrorMs: -MAX_CLOCK_ERROR_MS, view: emptyState, absences: noAbsences }
]
