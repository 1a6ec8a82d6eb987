import { faultFrom } from '@figmount/base'

import type { Fault } from '@figmount/base'

type Listener<Arguments extends readonly unknown[]> = (...values: Arguments) => void

/** Wraps listeners on one exchange. */
export type GuardListener = <Arguments extends readonly unknown[]>(listener: Listener<Arguments>) => Listener<Arguments>

/**
 * Creates the guard for the listeners on what a server sends in one exchange: what one of them throws ends this exchange with a fault.
 *
 * Guards against bytes of a server that end the process, and with it the requests at all other servers.
 */
export const createListenerGuard = (step: string, peer: string, end: (fault: Fault) => void): GuardListener => {
  const toFault = faultFrom(step, peer)
  return listener => (...values) => {
    try {
      listener(...values)
    } catch (thrown) {
      end({ ...toFault(thrown), kind: 'internal' })
    }
  }
}
