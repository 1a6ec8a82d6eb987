import { FinishReason } from '@figmount/schema'

import { isServiceDown, missingCallFault } from '../plain/callPlain.js'

import type { CallPlain } from '../plain/callPlain.js'
import type { Probe } from '../plain/probeService.js'
import type { RunOnBackend } from './types.js'

interface Options {
  readonly address: string
  readonly callPlain: CallPlain
  readonly probe: () => Promise<Probe>
  /** Identifies the run of the service; changes when the service was found dead. */
  readonly incarnation: () => string
}

/**
 * Runs attempts on a plain HTTP service. A service that interrupted a call and then refuses connections has ended; one
 * that is unreachable or only closed that connection has not.
 */
export const runOnPlain = ({ address, callPlain, probe, incarnation }: Options): RunOnBackend => async (attempt, _version, hooks, signal) => {
  const { plain, repeatable } = attempt.request
  if (!plain) return { kind: 'notRun', fault: missingCallFault(address), isBackendDown: false }
  const startedOn = incarnation()
  const end = await callPlain({ call: plain, repeatable, signal, onSent: hooks.onSent })
  if (end.kind === 'answered') return { kind: 'finished', finishReason: FinishReason.STOP, plain: end.answer }
  if (!end.sent) return { kind: 'notRun', fault: end.fault, isBackendDown: isServiceDown(end.fault) }
  if (signal.aborted) return { kind: 'cancelled' }
  const died = await probe() === 'refused'
  return { kind: 'interrupted', fault: end.fault, died, incarnation: startedOn }
}
