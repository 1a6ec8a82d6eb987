import { expect } from 'chai'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createLeaseFeed, FeedMode } from '../testing/createLeaseFeed.js'
import { FALLBACK_MS, LIFETIME_RATIO, RESTART_SETTLE_MS, UNUSED_MS } from './constants.js'
import { createLoadLeases } from './createLoadLeases.js'

import type { InstanceName } from '@figmount/base'
import type { LeaseNeeds, LoadLeases } from './types.js'

const LOAD_MS = 13_200

const REVIEW_MS = 50

const NOTHING: LeaseNeeds = { wants: [], loadingModel: '', isMakingRoom: false, isHeld: () => false }

/** An agent whose engine begins a load as soon as it has a lease. */
interface TestAgent {
  readonly leases: LoadLeases
  /** Wants the model; callers wait for it unless the count is 0. */
  readonly want: (modelName: string, waitingCount?: number) => void
  readonly stopWanting: () => void
  readonly loadingModel: () => string
  readonly loadedModels: () => readonly string[]
  readonly loadMs: () => number
  /** The agent's process is killed; its engine goes on. */
  readonly kill: () => void
  /** The engine and its load are lost; the weight store goes on with the load. */
  readonly crashEngine: () => void
}

/** Agents whose store carries `sustainedCount` loads at full speed; a load is slowed by those in progress when it begins. */
const setUp = (sustainedCount = 1) => {
  const timers = createVirtualTimers()
  const feed = createLeaseFeed(timers)
  const running = new Set<string>()
  let mostLoads = 0
  let leaseCount = 0

  const start = (instance: string, { isFirstStart = true, canLoad = true } = {}): TestAgent => {
    let wanted = new Map<string, number>()
    let loadingModel = ''
    let loadMs = 0
    const loaded: string[] = []
    const leases = createLoadLeases({
      feed,
      instance,
      timers,
      events: createEventLog({ instance: instance as InstanceName, role: 'agent', timers }),
      isFirstStart,
      onRestored: () => () => {},
      makeId: () => String(leaseCount++),
      changed: () => { review() }
    })

    const endLoad = (modelName: string): void => {
      running.delete(instance)
      if (loadingModel !== modelName) return
      loaded.push(modelName)
      loadingModel = ''
    }

    const beginLoad = (modelName: string): void => {
      if (loadingModel !== '' || !wanted.delete(modelName)) return
      loadingModel = modelName
      running.add(instance)
      mostLoads = Math.max(mostLoads, running.size)
      loadMs = LOAD_MS * Math.max(1, running.size / sustainedCount)
      timers.after(loadMs, () => { endLoad(modelName) })
    }

    const review = (): void => {
      const wants = loadingModel === '' ? [...wanted].map(([modelName, waitingCount]) => ({ modelName, waitingCount, coldLoadMs: LOAD_MS })) : []
      leases.review({ wants, loadingModel, isMakingRoom: false, isHeld: modelName => loaded.includes(modelName) })
      const leased = leases.leasedModel()
      if (canLoad && leased !== '') beginLoad(leased ?? wants[0]?.modelName ?? '')
    }

    const stopReviews = timers.every(REVIEW_MS, review)
    return {
      leases,
      want: (modelName, waitingCount = 1) => { wanted.set(modelName, waitingCount) },
      stopWanting: () => { wanted = new Map() },
      loadingModel: () => loadingModel,
      loadedModels: () => loaded,
      loadMs: () => loadMs,
      kill: () => {
        stopReviews()
        leases.stop()
      },
      crashEngine: () => { loadingModel = '' }
    }
  }

  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 2) {
      timers.advance(2)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  return { feed, start, pass, mostLoads: () => mostLoads }
}

/** Fixes the limit at one by a load that is slowed by another. */
const learnLimit = async ({ start, pass }: ReturnType<typeof setUp>): Promise<void> => {
  for (const name of ['first', 'second']) start(name).want(name)
  await pass(2.1 * LOAD_MS)
}

describe('leases for loads from the weight store', () => {
  it('let one load begin at a time where the store carries one', async () => {
    // Guards against loads that begin at the same moment and each slow down the next.
    const fleet = setUp()
    await learnLimit(fleet)
    const agents = ['a', 'b', 'c'].map(name => fleet.start(name))
    for (const [index, agent] of agents.entries()) agent.want(`m${index}`)
    await fleet.pass(1_000)
    expect(agents.filter(agent => agent.loadingModel() !== '')).to.have.length(1)
    await fleet.pass(3.2 * LOAD_MS)
    expect(agents.flatMap(agent => agent.loadedModels())).to.have.members(['m0', 'm1', 'm2'])
    expect(agents.map(agent => agent.loadMs())).to.deep.equal([LOAD_MS, LOAD_MS, LOAD_MS])
  })

  it('go to the model that most requests wait for, and last to one that is wanted ahead of requests', async () => {
    // Guards against a model without any copy that is never loaded because further copies of others are asked for first.
    const fleet = setUp()
    await learnLimit(fleet)
    const [first, ahead, few, many] = ['first', 'ahead', 'few', 'many'].map(name => fleet.start(name))
    first?.want('m')
    await fleet.pass(1_000)
    ahead?.want('ahead', 0)
    await fleet.pass(1_000)
    few?.want('few', 2)
    await fleet.pass(1_000)
    many?.want('many', 20)
    await fleet.pass(LOAD_MS - 2_000)
    expect(many?.loadingModel()).to.equal('many')
    await fleet.pass(LOAD_MS + 1_000)
    expect(few?.loadingModel()).to.equal('few')
    await fleet.pass(LOAD_MS + 2_000)
    expect(ahead?.loadingModel()).to.equal('ahead')
  })

  it('let one engine load a model that two are asked for', async () => {
    const fleet = setUp(4)
    const agents = ['a', 'b'].map(name => fleet.start(name))
    for (const agent of agents) agent.want('m')
    await fleet.pass(1_000)
    expect(agents.map(agent => agent.loadingModel()).sort()).to.deep.equal(['', 'm'])
  })

  it('let more loads begin where the store carries them', async () => {
    const fleet = setUp(4)
    const agents = [...'abcdefgh'].map(name => fleet.start(name))
    for (const [index, agent] of agents.entries()) agent.want(`m${index}`)
    await fleet.pass(4.5 * LOAD_MS)
    expect(agents.flatMap(agent => agent.loadedModels())).to.have.length(8)
    expect(fleet.mostLoads()).to.be.within(3, 5)
  })

  it('keep the limit over a restart of all agents', async () => {
    // Guards against loads that slow each other down after a loss of power, as nobody knows any more what the store carries.
    const fleet = setUp()
    await learnLimit(fleet)
    const agents = ['a', 'b', 'c'].map(name => fleet.start(name, { isFirstStart: false }))
    for (const [index, agent] of agents.entries()) agent.want(`m${index}`)
    await fleet.pass(RESTART_SETTLE_MS + 1_000)
    expect(agents.filter(agent => agent.loadingModel() !== '')).to.have.length(1)
  })

  it('stand until the load would have ended when it is lost with its engine', async () => {
    // Guards against loads after a loss of power that the store slows down, as it still carries those that were lost.
    const fleet = setUp()
    await learnLimit(fleet)
    const lost = fleet.start('a')
    lost.want('m')
    await fleet.pass(2_000)
    lost.crashEngine()
    const next = fleet.start('b')
    next.want('n')
    await fleet.pass(LOAD_MS - 2_000)
    expect(next.loadingModel()).to.equal('')
    await fleet.pass(3_000)
    expect(next.loadingModel()).to.equal('n')
    expect(next.loadMs()).to.equal(LOAD_MS)
  })

  it('of an agent that is gone for good expire', async () => {
    const fleet = setUp()
    await learnLimit(fleet)
    const gone = fleet.start('a')
    gone.want('m')
    await fleet.pass(1_000)
    gone.kill()
    const other = fleet.start('b')
    other.want('n')
    await fleet.pass(LIFETIME_RATIO * LOAD_MS - 2_000)
    expect(other.loadingModel()).to.equal('')
    await fleet.pass(3_000)
    expect(other.loadingModel()).to.equal('n')
  })

  it('are given back when the engine cannot make room, and when nobody wants the model any more', async () => {
    const fleet = setUp()
    const full = fleet.start('a', { canLoad: false })
    full.want('m')
    await fleet.pass(1_000)
    expect(full.leases.leasedModel()).to.equal('m')
    await fleet.pass(UNUSED_MS)
    expect(full.leases.leasedModel()).to.equal('')
    await fleet.pass(1_000)
    full.stopWanting()
    await fleet.pass(2_000)
    expect(full.leases.leasedModel()).to.equal('')
    expect(fleet.feed.keys()).to.deep.equal([])
  })

  it('whose append got no answer are found in the feed', async () => {
    const fleet = setUp()
    fleet.feed.setMode(FeedMode.AnswerLost)
    const agent = fleet.start('a')
    agent.want('m')
    await fleet.pass(1_000)
    expect(agent.loadingModel()).to.equal('m')
  })

  it('are not needed while the store is out of reach for long', async () => {
    // Guards against models that cannot be loaded during an outage of the store.
    const fleet = setUp()
    fleet.feed.setMode(FeedMode.Down)
    const agent = fleet.start('a')
    agent.want('m')
    await fleet.pass(FALLBACK_MS - 500)
    expect(agent.loadingModel()).to.equal('')
    await fleet.pass(1_500)
    expect(agent.loadingModel()).to.equal('m')
    await fleet.pass(LOAD_MS)
    fleet.feed.setMode(FeedMode.Healthy)
    expect(fleet.feed.keys()).to.deep.equal([])
    agent.want('n')
    await fleet.pass(1_500)
    expect(agent.loadingModel()).to.equal('n')
    expect(fleet.feed.keys()).to.have.length(1)
  })

  it('are not needed any more once the store has been silent for long, also in the middle of a call', async () => {
    // Guards against a load that begins only when the next call has timed out.
    const fleet = setUp()
    fleet.feed.setMode(FeedMode.Silent)
    const agent = fleet.start('a')
    agent.want('m')
    await fleet.pass(FALLBACK_MS - 50)
    expect(agent.loadingModel()).to.equal('')
    await fleet.pass(200)
    expect(agent.loadingModel()).to.equal('m')
  })

  it('cost no call to the store while none is needed', async () => {
    const fleet = setUp()
    const agent = fleet.start('a')
    await fleet.pass(5_000)
    expect(fleet.feed.calls).to.deep.equal([])
    agent.want('m')
    await fleet.pass(2 * LOAD_MS)
    expect(fleet.feed.calls.length).to.be.below(8)
  })

  it('do not follow an agent that never reports', async () => {
    const fleet = setUp()
    const agent = fleet.start('a')
    agent.leases.review(NOTHING)
    await fleet.pass(1_000)
    expect(agent.leases.leasedModel()).to.equal('')
  })
})
