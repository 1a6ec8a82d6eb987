import { expect } from 'chai'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createQuotas } from './createQuotas.js'

import type { InstanceName } from '@figmount/base'
import type { Organisation, RouterMessage, UnitsAnswered } from '@figmount/fleet'
import type { Admission } from './createQuotas.js'

const ACME: Organisation = { name: 'acme', priority: undefined, limit: { unit: 'tokens', unitsPerS: 1_000, burstUnits: 1_000, plainUnits: 10 } }

type Answer = Pick<UnitsAnswered, 'outcome' | 'waitMs'>

/** A router with agents that answer requests for units as `answers` says; one without an entry does not answer. */
const setUp = (answers: Readonly<Record<string, Answer | undefined>>) => {
  const timers = createVirtualTimers()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const reached = new Set(Object.keys(answers))
  const sent: Array<{ readonly to: string, readonly message: RouterMessage }> = []
  const quotas = createQuotas({
    timers,
    events,
    organisations: () => ({ all: [ACME], byKeyDigest: new Map() }),
    routerCount: () => 2,
    reachableAddresses: () => [...reached],
    send: (to, message) => {
      sent.push({ to, message })
      const answer = answers[to]
      if (message.type !== 'unitsAsked' || !answer) return
      timers.after(1, () => { quotas.takeAnswer(to, { type: 'unitsAnswered', askId: message.askId, ...answer }) })
    }
  })
  const admit = async (units: number, waitMs = 400): Promise<Admission> => {
    const admission = quotas.admit(ACME, units, 100)
    for (let passedMs = 0; passedMs < waitMs; passedMs += 10) {
      timers.advance(10)
      await Promise.resolve()
      await Promise.resolve()
    }
    return await admission
  }
  const asksTo = (): readonly string[] => sent.filter(({ message }) => message.type === 'unitsAsked').map(({ to }) => to)
  return { timers, quotas, reached, sent, admit, asksTo }
}

const TAKEN: Answer = { outcome: 'taken', waitMs: 0 }

describe('quotas of a router', () => {
  it('are counted by one agent, which is first informed that it was chosen', async () => {
    const { sent, admit, asksTo } = setUp({ 'a:1': TAKEN, 'b:1': TAKEN })
    expect(await admit(10)).to.deep.equal({ isAdmitted: true })
    expect(await admit(10)).to.deep.equal({ isAdmitted: true })
    const [first, second] = asksTo()
    expect(first).to.equal(second)
    expect(sent[0]).to.deep.equal({ to: first, message: { type: 'limiterChosen', organisations: ['acme'], routerCount: 2 } })
  })

  it('refuse at once, without asking the limiter, until the time that it gave with a refusal', async () => {
    // Guards against an organisation far over its limit whose refusals cost as much as its requests.
    const { admit, asksTo } = setUp({ 'a:1': { outcome: 'refused', waitMs: 2_000 } })
    expect(await admit(100)).to.deep.equal({ isAdmitted: false, isOverLimit: true, retryAfterMs: 2_000 })
    const again = await admit(20)
    expect(again).to.deep.include({ isAdmitted: false, isOverLimit: true })
    expect(asksTo()).to.have.length(1)
    await admit(20, 2_000)
    await admit(20)
    expect(asksTo()).to.have.length(2)
  })

  it('are counted by another agent when one does not answer', async () => {
    // Guards against a paused agent that blocks all requests of its organisations.
    const both = { 'a:1': TAKEN, 'b:1': TAKEN }
    const probe = setUp(both)
    await probe.admit(10)
    const silent = probe.asksTo()[0] ?? ''
    const { sent, admit, asksTo } = setUp({ ...both, [silent]: undefined })
    expect(await admit(10)).to.deep.equal({ isAdmitted: true })
    expect(asksTo()[0]).to.equal(silent)
    expect(asksTo()[1]).to.not.equal(silent)
    expect(sent.find(({ to, message }) => to === silent && message.type === 'limiterChosen' && message.organisations.length === 0)).to.not.equal(undefined)
  })

  it('are a share of the limit, in an initially empty bucket, while no agent is reachable', async () => {
    // Guards against disconnected routers that together exceed the limit.
    const { timers, reached, admit } = setUp({ 'a:1': TAKEN })
    reached.clear()
    expect(await admit(100)).to.deep.include({ isAdmitted: false, isOverLimit: false })
    timers.advance(10_000)
    expect(await admit(400)).to.deep.equal({ isAdmitted: true })
    expect(await admit(400)).to.deep.include({ isAdmitted: false })
    expect(await admit(5_000)).to.deep.include({ isAdmitted: false })
  })
})
