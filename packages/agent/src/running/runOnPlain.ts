import { FinishReason } from '@figmount/schema'

import { isServiceDown, missingCall } from '../plain/callPlain.js'

import type { CallPlain } from '../plain/callPlain.js'
import type { RunOnBackend } from './types.js'

/** Runs attempts on a plain HTTP service. */
export const runOnPlain = (address: string, callPlain: CallPlain): RunOnBackend => async (attempt, _version, hooks, signal) => {
  const { plain, repeatable } = attempt.request
  if (!plain) return { kind: 'notRun', fault: missingCall(address), isBackendDown: false }
  const end = await callPlain({ call: plain, repeatable, signal, onReach: hooks.onReach })
  if (end.kind === 'answered') return { kind: 'finished', finishReason: FinishReason.STOP, plain: end.answer }
  if (!end.sent) return { kind: 'notRun', fault: end.fault, isBackendDown: isServiceDown(end.fault) }
  if (signal.aborted) return { kind: 'cancelled' }
  return { kind: 'interrupted', fault: end.fault, died: false, incarnation: '' }
}
