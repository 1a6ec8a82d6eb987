import { expect } from 'chai'
import { Right } from 'purify-ts'
import { createEventLog, createMetrics, createVirtualTimers } from '@figmount/base'

import { createDirectory } from '../directory/createDirectory.js'
import { makeServerEntry } from '../testing/makeServerEntry.js'
import { awaitRetry } from './awaitRetry.js'
import { createRetryBudget } from './createRetryBudget.js'

import type { InstanceName } from '@figmount/base'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'
import type { GrantedRetry } from './awaitRetry.js'

const LIMITS = { ratio: 0.2, windowMs: 10_000, slackCount: 40 }
const START = { serverId: 'a', startedAtUnixMs: undefined }

/** A router that has run for a window and has `sentCount` of its four retries in it, the first of which leaves it after a second. */
const setUp = (sentCount: number) => {
  const timers = createVirtualTimers()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const directory = createDirectory({ timers, events, decodeServer: key => Right(makeServerEntry(key)), isServiceConfigured: () => true, onEntry: () => {} })
  directory.takeRecords([{ key: 'a', value: Buffer.from('x'), offset: 1 }])
  const metrics = createMetrics()
  const budget = createRetryBudget({ limits: LIMITS, timers, metrics, membership: { routerCount: () => 5, countedForMs: () => LIMITS.windowMs } })
  timers.advance(LIMITS.windowMs)
  for (let count = 0; count < sentCount; count++) {
    budget.openTurn('s', 1).take().noteArrival('certain')
    timers.advance(9_000 / sentCount)
  }
  const caller = new AbortController()
  const context = { timers, events, metrics, directory, budget } as unknown as GatewayContext
  const request = { serviceName: 's', priority: 1, caller: { requestId: 'q' }, callerLeft: caller.signal } as unknown as RoutedRequest
  const untilMs = timers.nowMs() + 3_000

  const ask = async (patienceMs = 3_000): Promise<GrantedRetry | 'waits'> => {
    const granted = awaitRetry(context, request, { start: START, sendCount: 1, leftMs: () => untilMs - 3_000 + patienceMs - timers.nowMs() })
    return await Promise.race([granted, pass(1_500).then((): 'waits' => 'waits')])
  }

  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      for (let turn = 0; turn < 5; turn++) await new Promise(resolve => { setImmediate(resolve) })
      timers.advance(50)
    }
  }

  const names = (): readonly string[] => events.recent().map(({ name }) => name).filter(name => name.startsWith('ret') || name.startsWith('requestR'))
  return { budget, caller, directory, ask, names }
}

describe('a request that wants a retry', () => {
  it('gets one at once if one is left', async () => {
    const { ask, names } = setUp(1)
    expect(await ask()).to.deep.include({ hasWaited: false })
    expect(names()).to.deep.equal(['requestRepeated'])
  })

  it('waits for one that it can have in time', async () => {
    // Guards against callers that are refused beside idle servers just after a router has started.
    const { ask, names } = setUp(4)
    const granted = await ask()
    expect(granted).to.deep.include({ hasWaited: true })
    expect(granted !== 'waits' && granted.retry !== undefined).to.equal(true)
    expect(names()).to.deep.equal(['retryAwaited', 'requestRepeated'])
  })

  it('is refused at once if it can have none in time', async () => {
    const { ask, names } = setUp(4)
    expect(await ask(500)).to.deep.equal({ retry: undefined, hasWaited: false })
    expect(names()).to.deep.equal(['retryDenied'])
  })

  it('waits beside a server that has failed once', async () => {
    // Guards against callers that are refused as each server has failed one request of a series that is over.
    const { ask, directory } = setUp(4)
    directory.noteOutcome(START, true)
    expect(await ask()).to.deep.include({ hasWaited: true })
  })

  it('is refused at once if its server has just failed others', async () => {
    // Guards against callers that wait for a second refusal.
    const { ask, directory } = setUp(4)
    for (let count = 0; count < 2; count++) directory.noteOutcome(START, true)
    expect(await ask()).to.deep.equal({ retry: undefined, hasWaited: false })
  })

  it('holds nobody up once its caller has left', async () => {
    const { ask, budget, caller } = setUp(4)
    caller.abort()
    expect(await ask()).to.deep.equal({ retry: undefined, hasWaited: false })
    expect(budget.openTurn('s', 9).waitMs()).to.be.at.most(1_000)
  })
})
