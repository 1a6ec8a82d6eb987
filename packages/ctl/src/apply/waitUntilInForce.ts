import { EitherAsync } from 'purify-ts'
import { sleep } from '@figmount/base'

import type { Fault, TimerService } from '@figmount/base'
import type { InstanceStatus } from '@figmount/schema'
import type { OperatorClient } from '../operatorClient/createOperatorClient.js'

const POLL_PERIOD_MS = 100

/** Result of waiting for a configuration to be in force. */
export interface InForceResult {
  readonly isEverywhere: boolean
  readonly tookMs: number
  readonly missing: readonly string[]
}

/** Instances that are gone or leaving are not waited for: they take no new work under any configuration. */
const takesNewWork = (instance: InstanceStatus): boolean => instance.state !== 'gone' && instance.state !== 'leaving'

/** Polls the status until every instance has applied the log up to `offset`, or `timeoutMs` has passed. */
export const waitUntilInForce = (client: OperatorClient, timers: TimerService, offset: bigint, timeoutMs: number): EitherAsync<Fault, InForceResult> =>
  EitherAsync<Fault, InForceResult>(async ({ fromPromise }) => {
    const startMs = timers.nowMs()
    while (true) {
      const status = await fromPromise(client.call('ctl.status', async rpc => await rpc.status({})).run())
      const missing = status.instances
        .filter(instance => takesNewWork(instance) && instance.appliedOffset <= offset)
        .map(instance => instance.instance)
      const tookMs = Math.round(timers.nowMs() - startMs)
      if (missing.length === 0) return { isEverywhere: true, tookMs, missing }
      if (tookMs >= timeoutMs) return { isEverywhere: false, tookMs, missing }
      await sleep(timers, POLL_PERIOD_MS)
    }
  })
