/**
 * A simulation of agents that may hold the keys right of one model, and of callers that resend their
 * keys to any agent that an outdated router selects. Agents follow docs/design/once.md.
 */
import { createTestLog } from './createTestLog.js'
import { agentUp, setConfig, twoReplicaService } from './records.js'
import { emptyState } from '../fold/emptyState.js'
import { rightIdOf } from '../rights/rightId.js'
import { AUTHORITY_MS, MAX_CLOCK_ERROR_MS, MAX_KEY_AGE_MS } from '../rights/constants.js'

import type { Incarnation, InstanceName, LogOffset, ModelId } from '@figmount/base'
import type { AgreedState, LogRecord } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { RightState } from '../rights/types.js'

const target = 'reader/m' as ModelId
const right = { kind: 'keys', target } as const

/** The kinds of step and the relative frequency of each. */
export const KEYS_STEPS = {
  time: 12, ask: 12, askAll: 4, issue: 8, turn: 20, readStart: 2, readEnd: 3, deliver: 3, deliverAll: 10, lose: 1, pause: 1, resume: 4, restart: 1, grant: 8, revoke: 1, release: 2, void: 1, window: 1
} as const

/** One step; `who` selects an agent or append, `n` a key, time step or variant. */
export interface KeysStep {
  readonly kind: keyof typeof KEYS_STEPS
  readonly who: number
  readonly n: number
}

interface Key {
  readonly id: number
  readonly issuedAtMs: number
  permitCount: number
  sentCount: number
}

interface Holder {
  readonly name: InstanceName
  readonly clockErrorMs: number
  incarnation: Incarnation
  isPaused: boolean
  view: AgreedState
  confirmedAtMs: number
  reading: { readonly sentAtMs: number, readonly head: LogOffset } | undefined
  /** Permitted keys, each with the time until which it is remembered. */
  known: Map<number, number>
  releasing: ReadonlySet<LogOffset>
}

/** Rules that a test can change to check that the search finds the resulting fault. */
export interface KeyRules {
  /** Subtracted from the margin that the fold includes in `keysFromMs`. */
  readonly marginCutMs: number
  readonly memoryMs: number
}

export interface KeysSimulation {
  readonly step: (step: KeysStep) => void
  readonly findViolations: () => readonly string[]
  readonly permitCount: () => number
  readonly tenureCount: () => number
}

const TIME_STEPS_MS = [100, 500, 1_000, 2_000, 4_000, 9_000, 9_000] as const
const DAY_MS = 86_400_000
/** Errors of the clocks that stamp keys: within the limit, somewhat beyond it, and by a day. */
const CLOCK_ERRORS_MS = [0, -MAX_CLOCK_ERROR_MS, MAX_CLOCK_ERROR_MS, 2 * MAX_CLOCK_ERROR_MS, 2 * MAX_CLOCK_ERROR_MS, -DAY_MS, DAY_MS] as const

export const createKeysSimulation = (rules: KeyRules): KeysSimulation => {
  const log = createTestLog()
  const violations: string[] = []
  const keys: Key[] = []
  let nowMs = 10_000_000
  let incarnationCount = 0

  const createHolder = (name: string, clockErrorMs: number): Holder => ({
    name: name as InstanceName,
    clockErrorMs,
    incarnation: 'i000' as Incarnation,
    isPaused: false,
    view: emptyState,
    confirmedAtMs: -Infinity,
    reading: undefined,
    known: new Map(),
    releasing: new Set()
  })
  const holders = [createHolder('a0', MAX_CLOCK_ERROR_MS), createHolder('a1', -MAX_CLOCK_ERROR_MS), createHolder('a2', 0)]

  const announce = (holder: Holder): void => {
    const { recordId, ...record } = agentUp(holder.name, holder.incarnation) as Extract<LogRecord, { kind: 'agent.up' }>
    log.send(record, holder.name, holder.incarnation)
  }

  const findRight = (state: AgreedState): RightState | undefined => state.rights.get(rightIdOf(right))

  const findHeldRight = (holder: Holder): RightState | undefined => {
    const held = findRight(holder.view)
    return held?.holder === holder.name && held.status !== 'free' && !holder.releasing.has(held.fence) ? held : undefined
  }

  const isPermitted = (holder: Holder, held: RightState, key: Key, clockMs: number): boolean =>
    held.status === 'granted' &&
    held.incarnation === holder.incarnation &&
    nowMs - holder.confirmedAtMs < AUTHORITY_MS &&
    key.issuedAtMs <= clockMs + MAX_CLOCK_ERROR_MS &&
    key.issuedAtMs >= clockMs - MAX_KEY_AGE_MS &&
    key.issuedAtMs >= held.keysFromMs - rules.marginCutMs

  const requestPermit = (holder: Holder, key: Key): void => {
    key.sentCount += 1
    const clockMs = nowMs + holder.clockErrorMs
    for (const [id, untilMs] of holder.known) {
      if (untilMs < clockMs) holder.known.delete(id)
    }
    const held = findHeldRight(holder)
    if (!held || holder.known.has(key.id) || !isPermitted(holder, held, key, clockMs)) return
    key.permitCount += 1
    holder.known.set(key.id, Math.max(clockMs, key.issuedAtMs) + rules.memoryMs)
    if (key.permitCount > 1) violations.push(`key ${key.id} was permitted ${key.permitCount} times`)
  }

  const restart = (holder: Holder): void => {
    incarnationCount += 1
    Object.assign(holder, {
      incarnation: `i${String(incarnationCount).padStart(3, '0')}`,
      isPaused: false,
      view: emptyState,
      confirmedAtMs: -Infinity,
      reading: undefined,
      known: new Map(),
      releasing: new Set()
    })
    announce(holder)
  }

  const readStart = (holder: Holder): void => { holder.reading = { sentAtMs: nowMs, head: log.head() } }

  const readEnd = (holder: Holder): void => {
    if (!holder.reading) return
    if (holder.reading.head > holder.view.nextOffset) holder.view = log.stateAt(holder.reading.head)
    holder.confirmedAtMs = holder.reading.sentAtMs
    holder.reading = undefined
  }

  const renewOrAnnounce = (holder: Holder): void => {
    const facts = holder.view.agents.get(holder.name)
    if (facts?.incarnation !== holder.incarnation || facts.gone) return announce(holder)
    const held = findHeldRight(holder)
    if (!held || held.incarnation === holder.incarnation) return
    log.send({ kind: 'right.renew', right, fence: held.fence, incarnation: holder.incarnation }, holder.name, holder.incarnation)
  }

  const release = (holder: Holder): void => {
    const held = findRight(holder.view)
    if (held?.holder !== holder.name || held.status === 'free') return
    if (holder.view.agents.get(holder.name)?.incarnation !== holder.incarnation) return
    holder.releasing = new Set([...holder.releasing, held.fence])
    log.send({ kind: 'right.release', right, fence: held.fence }, holder.name, holder.incarnation)
  }

  const send = (record: NewRecord): void => log.send(record, 'r0')

  const propose = ({ kind, who }: KeysStep, holder: Holder): void => {
    const current = findRight(log.present())
    const facts = log.present().agents.get(holder.name)
    if (kind === 'grant' && facts) {
      send({ kind: 'right.grant', right, instance: holder.name, incarnation: facts.incarnation, expectedFence: current?.fence ?? 0 })
    }
    if (kind === 'revoke' && current) send({ kind: 'right.revoke', right, fence: current.fence })
    if (kind === 'void' && who === 0) send({ kind: 'instance.void', instance: holder.name, upToOffset: (log.head() - 1) as LogOffset })
  }

  const stepHolder = (holder: Holder, { kind, n }: KeysStep): void => {
    switch (kind) {
      case 'pause': holder.isPaused = true; return
      case 'resume': holder.isPaused = false; return
      case 'restart': return restart(holder)
    }
    if (holder.isPaused) return
    switch (kind) {
      case 'readStart': return readStart(holder)
      case 'readEnd': return readEnd(holder)
      case 'release': return release(holder)
      case 'ask': {
        const key = keys.at(-1 - n)
        return key && requestPermit(holder, key)
      }
      case 'turn':
        readStart(holder)
        readEnd(holder)
        return renewOrAnnounce(holder)
      case 'askAll':
        readStart(holder)
        readEnd(holder)
        for (const key of keys.slice(-8)) requestPermit(holder, key)
    }
  }

  const step = (next: KeysStep): void => {
    const holder = holders[next.who % holders.length] as Holder
    switch (next.kind) {
      case 'time': nowMs += TIME_STEPS_MS[next.n] ?? 0; return
      case 'window': nowMs += MAX_KEY_AGE_MS / 2; return
      case 'issue':
        keys.push({ id: keys.length, issuedAtMs: nowMs + (CLOCK_ERRORS_MS[next.n % CLOCK_ERRORS_MS.length] ?? 0), permitCount: 0, sentCount: 0 })
        return
      case 'deliver': return log.deliver(next.who, nowMs, next.n === 0)
      case 'deliverAll': return log.deliverAll(nowMs)
      case 'lose': return log.lose(next.who)
      case 'grant': case 'revoke': case 'void': return propose(next, holder)
      default: return stepHolder(holder, next)
    }
  }

  log.send(setConfig('service/reader', 0, twoReplicaService) as NewRecord, 'r0')
  for (const holder of holders) announce(holder)
  return {
    step,
    findViolations: () => violations,
    permitCount: () => keys.reduce((sum, key) => sum + key.permitCount, 0),
    tenureCount: () => log.appliedCount('right.grant') + log.appliedCount('right.renew')
  }
}
