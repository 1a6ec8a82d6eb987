import { expect } from 'chai'

import { shouldReportLoad } from './shouldReportLoad.js'

const reported = (hasReplicaElsewhere: boolean, ageMs = 100) => ({ load: { runningCount: 10, startingCount: 0 }, ageMs, hasReplicaElsewhere })

describe('reporting of an engine\'s load', () => {
  it('reports each starting request when another engine could take the next one', () => {
    expect(shouldReportLoad(reported(true), { runningCount: 11, startingCount: 1 })).to.equal(true)
    expect(shouldReportLoad(reported(true), { runningCount: 11, startingCount: 0 })).to.equal(false)
  })

  it('reports only queues when no other engine has the models', () => {
    expect(shouldReportLoad(reported(false), { runningCount: 11, startingCount: 1 })).to.equal(false)
    expect(shouldReportLoad(reported(false), { runningCount: 13, startingCount: 3 })).to.equal(true)
  })

  it('reports small changes once a second, and never an unchanged load', () => {
    expect(shouldReportLoad(reported(false, 1_000), { runningCount: 11, startingCount: 0 })).to.equal(true)
    expect(shouldReportLoad(reported(true, 60_000), { runningCount: 10, startingCount: 0 })).to.equal(false)
  })
})
