import { expect } from 'chai'
import { createEventLog, createMetrics, createVirtualTimers } from '@figmount/base'

import { createStop } from '../stopping/createStop.js'
import { makeServerLimits } from '../testing/makeServerLimits.js'
import { STOPPING_RETRY_MS } from './constants.js'
import { servePlain } from './servePlain.js'

import type { InstanceName } from '@figmount/base'
import type { GatewayContext, RoutedRequest } from './types.js'

const STOP_MS = 8_000

describe('serving a plain request', () => {
  it('sends callers to another router at once when the router stops', async () => {
    // Guards against a long retry-after from a stopping router while other routers are free.
    const timers = createVirtualTimers()
    const retriesMs: number[] = []
    const stop = createStop(timers, STOP_MS)
    const context = {
      timers,
      events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }),
      metrics: createMetrics(),
      stop,
      directory: {},
      serverLimits: makeServerLimits(timers),
      codec: {
        encodeRefusal: (_requestId: string, retryAfterMs: number) => {
          retriesMs.push(retryAfterMs)
          return []
        }
      }
    } as unknown as GatewayContext
    const request = {
      caller: { requestId: 'r1' },
      route: { kind: 'atMostOnce', objectiveMs: STOP_MS },
      serviceName: 's',
      arrivedMs: 0,
      untilMs: STOP_MS,
      callerLeft: new AbortController().signal,
      response: { headersSent: false, destroyed: false, writeHead: () => {}, end: () => {} }
    } as unknown as RoutedRequest
    stop.ask()
    await servePlain(context, request)
    expect(retriesMs).to.deep.equal([STOPPING_RETRY_MS])
  })
})
