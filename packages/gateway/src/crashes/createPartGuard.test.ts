import { expect } from 'chai'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { makePartGuard } from '../testing/makePartGuard.js'

import type { InstanceName } from '@figmount/base'
import type { CallerRequest, CrashNotice } from '@figmount/fleet'

const RUN_MS = 60
/** Time from a death to its proof. */
const PROOF_MS = 100

const callOf = (requestId: string): CallerRequest =>
  ({ requestId, promptParts: ['p', 'own'].map(partId => ({ partId, tokens: 10 })) }) as unknown as CallerRequest

/** A router whose runs are sent and end with their servers, one after the other, and another one that is told of both with the given delays. */
const tellOther = (delaysMs: readonly [number, number]) => {
  const timers = createVirtualTimers()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const sent: CrashNotice[] = []
  const own = makePartGuard(timers, events, notice => { sent.push(notice) })
  const other = makePartGuard(timers, events)
  const tell = (index: number): void => { other.takeDeaths(sent[index]?.partDeaths ?? []) }

  const runs = [0, 1].map(index => {
    const sentMs = index * (RUN_MS + 1)
    return { serverId: `s${index}`, sentMs, brokenMs: sentMs + RUN_MS }
  })
  for (const [index, { serverId, sentMs, brokenMs }] of runs.entries()) {
    timers.after(brokenMs + PROOF_MS, () => {
      own.noteDeath(callOf('a'), { serverId, startedAtUnixMs: 1 }, sentMs, brokenMs)
      timers.after(50 + (delaysMs[index] ?? 0), () => { tell(index) })
    })
  }
  timers.advance(1_000)
  return { own, other }
}

describe('the guard against parts of prompts', () => {
  it('refuses a part under which servers died at another router, however late each of its reports comes', () => {
    // Guards against one more death at each router that hears of two deaths in quick succession, the first one later than the second.
    for (const delaysMs of [[0, 0], [10, 0], [40, 5], [0, 40], [200, 0]] as const) {
      const { own, other } = tellOther(delaysMs)
      expect(own.judge(callOf('b')).type, 'own').to.equal('deadly')
      expect(other.judge(callOf('b')).type, `told after ${delaysMs.join(' and ')} ms`).to.equal('deadly')
    }
  })

  it('passes what it was told on to a third router with its order', () => {
    const { other } = tellOther([200, 0])
    const timers = createVirtualTimers()
    const third = makePartGuard(timers, createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }))
    third.takeDeaths(other.deaths())
    expect(third.judge(callOf('b')).type).to.equal('deadly')
  })
})
