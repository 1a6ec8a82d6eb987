import { EitherAsync } from 'purify-ts'
import { sleep } from '@figmount/base'

import type { Fault, TimerService } from '@figmount/base'
import type { InstanceStatus } from '@figmount/schema'
import type { OperatorClient } from '../operatorClient/createOperatorClient.js'

const POLL_MS = 100

/** Where a configuration is in force after waiting for it. */
export interface InForce {
  readonly everywhere: boolean
  readonly tookMs: number
  readonly missing: readonly string[]
}

/** Instances that count: one that is gone or leaving takes no new work under any configuration. */
const mustHave = (instance: InstanceStatus): boolean => instance.state !== 'gone' && instance.state !== 'leaving'

/** Asks until every instance has applied the log up to `offset`, or `patienceMs` has passed. */
export const waitInForce = (client: OperatorClient, timers: TimerService, offset: bigint, patienceMs: number): EitherAsync<Fault, InForce> =>
  EitherAsync<Fault, InForce>(async ({ fromPromise }) => {
    const startMs = timers.nowMs()
    while (true) {
      const status = await fromPromise(client.call('ctl.status', async rpc => await rpc.status({})).run())
      const missing = status.instances
        .filter(instance => mustHave(instance) && instance.appliedOffset <= offset)
        .map(instance => instance.instance)
      const tookMs = Math.round(timers.nowMs() - startMs)
      if (missing.length === 0) return { everywhere: true, tookMs, missing }
      if (tookMs >= patienceMs) return { everywhere: false, tookMs, missing }
      await sleep(timers, POLL_MS)
    }
  })
