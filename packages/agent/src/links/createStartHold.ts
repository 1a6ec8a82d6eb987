import { AgentEvent } from '../events.js'
import { HOLD_MS } from './constants.js'

import type { AttemptId, LogOffset } from '@figmount/base'
import type { RefusalNote, RunRequest } from '@figmount/peers'
import type { HandleStart, Start } from '../agent/createAdmission.js'
import type { AgentContext } from '../agent/types.js'
import type { Subscriber } from '../attempts/types.js'

interface Options {
  readonly context: Pick<AgentContext, 'timers' | 'events' | 'records'>
  /** Why the agreed state as read so far lets a request not run here; undefined while it does. */
  readonly refusalByState: (start: { readonly request: RunRequest }) => RefusalNote | undefined
  /** How far the peers have read that this agent has heard of. */
  readonly highestOffset: () => LogOffset
  readonly start: HandleStart
}

interface HeldStart {
  readonly start: Start
  readonly subscriber: Subscriber
  readonly sinceMs: number
}

/** Starts that wait until the agent has read what their routers knew when they sent them. */
export interface StartHold {
  readonly take: HandleStart
  /** Takes a held start back; nothing of it has run or will. */
  readonly drop: (attemptId: AttemptId) => void
  /** Looks at the held starts again after the agreed state has grown. */
  readonly recheck: () => void
}

/**
 * Makes the hold of one agent.
 *
 * Guards against an agent that reads the log some milliseconds later than a router: it knows nothing yet of the model or of
 * its own right, and would refuse for a second, or for good, what it may run as soon as it has read on. Every message tells
 * how far its sender has read, so the agent knows that it is behind and asks the router for what is missing.
 */
export const createStartHold = ({ context, refusalByState, highestOffset, start }: Options): StartHold => {
  const { timers, events, records } = context
  const held = new Map<AttemptId, HeldStart>()

  const isBehind = (): boolean => highestOffset() > records.state().nextOffset

  const release = ({ start: { attemptId, request, ...rest }, subscriber, sinceMs }: HeldStart): void => {
    held.delete(attemptId)
    // Guards against a start that runs though its router was told that it is unknown: after its link has ended the router asks anew.
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
      timers.after(HOLD_MS, () => releaseIfHeld(attemptId, entry))
    },
    drop: attemptId => { held.delete(attemptId) },
    recheck: () => {
      for (const entry of [...held.values()]) {
        if (!isBehind() || !refusalByState(entry.start)) release(entry)
      }
    }
  }
}
