import { AgentEvent } from '../events.js'
import { START_HOLD_MS } from './constants.js'

import type { AttemptId, LogOffset } from '@figmount/base'
import type { RefusalNote, RunRequest } from '@figmount/peers'
import type { HandleStart, Start } from '../agent/createAdmission.js'
import type { AgentContext } from '../agent/types.js'
import type { Subscriber } from '../attempts/types.js'

interface Options {
  readonly context: Pick<AgentContext, 'timers' | 'events' | 'records'>
  /** Why the agreed state as read so far forbids the request here; undefined if it allows it. */
  readonly refusalByState: (start: { readonly request: RunRequest }) => RefusalNote | undefined
  /** The highest log offset that peers have reported. */
  readonly highestOffset: () => LogOffset
  readonly start: HandleStart
}

interface HeldStart {
  readonly start: Start
  readonly subscriber: Subscriber
  readonly sinceMs: number
}

/** Holds starts until the agent has read the records that their routers had read when they sent them. */
export interface StartHold {
  readonly take: HandleStart
  /** Discards a held start, which then never runs. */
  readonly drop: (attemptId: AttemptId) => void
  /** Checks the held starts again after the agreed state has changed. */
  readonly review: () => void
}

/**
 * Creates the hold of one agent.
 *
 * An agent may read the log some milliseconds later than a router. Without the model's configuration or its own right, it
 * would refuse with a retry after a second, or permanently, a request that it may run once it has caught up. Every message
 * carries its sender's log offset, so the agent detects that it is behind and requests the missing records.
 */
export const createStartHold = ({ context, refusalByState, highestOffset, start }: Options): StartHold => {
  const { timers, events, records } = context
  const held = new Map<AttemptId, HeldStart>()

  const isBehind = (): boolean => highestOffset() > records.state().nextOffset

  const release = ({ start: { attemptId, request, ...rest }, subscriber, sinceMs }: HeldStart): void => {
    held.delete(attemptId)
    // A router whose link has ended resumes the attempt on a new link and is answered `unknown`. It may then run the
    // attempt elsewhere, so the attempt must not run here.
    if (!subscriber.isOpen()) return
    const remainingMs = Math.max(0, request.remainingMs - (timers.nowMs() - sinceMs))
    start({ ...rest, attemptId, request: { ...request, remainingMs } }, subscriber)
  }

  const releaseIfHeld = (attemptId: AttemptId, entry: HeldStart): void => {
    if (held.get(attemptId) === entry) release(entry)
  }

  return {
    take: (message, subscriber) => {
      if (!isBehind() || !refusalByState(message)) return start(message, subscriber)
      const { attemptId, request } = message
      const entry = { start: message, subscriber, sinceMs: timers.nowMs() }
      if (held.size === 0) subscriber.send({ type: 'records.ask', fromOffset: records.state().nextOffset })
      held.set(attemptId, entry)
      events.emit(AgentEvent.startHeld, { attemptId, caller: request.caller, requestKey: request.requestKey, model: request.model, offset: highestOffset() })
      timers.after(START_HOLD_MS, () => releaseIfHeld(attemptId, entry))
    },
    drop: attemptId => { held.delete(attemptId) },
    review: () => {
      for (const entry of [...held.values()]) {
        if (!isBehind() || !refusalByState(entry.start)) release(entry)
      }
    }
  }
}
