import { expect } from 'chai'

import { isLoadNews } from './isLoadNews.js'

const told = (hasReplicaElsewhere: boolean, ageMs = 100) => ({ load: { runningCount: 10, startingCount: 0 }, ageMs, hasReplicaElsewhere })

describe('news of an engine\'s load', () => {
  it('are each request that starts where another engine could take the next one', () => {
    expect(isLoadNews(told(true), { runningCount: 11, startingCount: 1 })).to.equal(true)
    expect(isLoadNews(told(true), { runningCount: 11, startingCount: 0 })).to.equal(false)
  })

  it('are only queues where no other engine has the models', () => {
    expect(isLoadNews(told(false), { runningCount: 11, startingCount: 1 })).to.equal(false)
    expect(isLoadNews(told(false), { runningCount: 13, startingCount: 3 })).to.equal(true)
  })

  it('are small changes too once a second, and never what has not changed', () => {
    expect(isLoadNews(told(false, 1_000), { runningCount: 11, startingCount: 0 })).to.equal(true)
    expect(isLoadNews(told(true, 60_000), { runningCount: 10, startingCount: 0 })).to.equal(false)
  })
})
