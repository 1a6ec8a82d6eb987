import { expect } from 'chai'
import { Right } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createDemandMeter } from '../demand/createDemandMeter.js'
import { createDirectory } from '../directory/createDirectory.js'
import { makeAgentState } from '../testing/makeAgentState.js'
import { makeServerEntry } from '../testing/makeServerEntry.js'
import { createDemandReporter } from './createDemandReporter.js'

import type { InstanceName } from '@figmount/base'
import type { RouterMessage, ServerStart } from '@figmount/fleet'
import type { AgentLinks } from '../agents/createAgentLinks.js'

const START: ServerStart = { serverId: 'a', startedAtUnixMs: undefined }

const setUp = () => {
  const timers = createVirtualTimers()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const directory = createDirectory({ timers, events, decodeServer: key => Right(makeServerEntry(key)), isServiceConfigured: () => true, onEntry: () => {} })
  directory.takeRecords(['a', 'b'].map(key => ({ key, value: Buffer.from('x'), offset: 1 })))
  const meter = createDemandMeter(timers)
  const sent: RouterMessage[] = []
  let isNewLink = true
  const links = {
    sendToEach: (messageFor: (address: string, isNew: boolean) => RouterMessage | undefined) => {
      const message = messageFor('a:1', isNewLink)
      if (message) sent.push(message)
      isNewLink = false
    },
    find: () => ({ send: (message: RouterMessage) => sent.push(message) })
  } as unknown as AgentLinks
  const { report, reportLeaving } = createDemandReporter(meter, directory, links)
  return { timers, meter, directory, sent, report, reportLeaving, relink: () => { isNewLink = true } }
}

const modelsOf = (message: RouterMessage | undefined): readonly string[] =>
  message?.type === 'demand' ? message.models.map(model => model.modelName) : []

describe('demand reporter', () => {
  it('reports a model only when it was requested again', () => {
    const { meter, sent, report } = setUp()
    meter.note('m', '', 10)
    meter.note('n', 'a1', 10)
    report()
    expect(modelsOf(sent[0])).to.have.members(['m', 'n'])
    meter.note('n', '', 10)
    report()
    expect(modelsOf(sent[1])).to.deep.equal(['n'])
    report()
    expect(sent).to.have.length(2)
  })

  it('reports everything over a new link', () => {
    // Guards against a restarted agent that unloads the busiest model.
    const { meter, directory, sent, report, relink } = setUp()
    meter.note('m', '', 10)
    directory.own.noteRun(START, 'm')
    report()
    relink()
    report()
    expect(modelsOf(sent[1])).to.deep.equal(['m'])
    expect(sent[1]).to.deep.include({ runningModels: ['m'] })
  })

  it('reports only changed replica counts', () => {
    const { directory, sent, report } = setUp()
    const hold = (address: string, ...names: string[]): void =>
      directory.takeState(address, makeAgentState('', { models: names.map(name => ({ name, adapters: [] })) }))
    const replicasOf = (index: number): unknown => sent[index]?.type === 'demand' ? sent[index].replicas : undefined
    hold('a:1', 'm', 'n')
    hold('b:1', 'm', 'n')
    report()
    expect(replicasOf(0)).to.have.length(2)
    hold('b:1', 'm')
    report()
    expect(replicasOf(1)).to.deep.equal([{ modelName: 'n', replicaCount: 1 }])
    report()
    expect(sent).to.have.length(2)
  })

  it('does not count a replica that is about to be unloaded', () => {
    // Guards against two engines that each evict a model as redundant.
    const { directory, sent, report } = setUp()
    const models = [{ name: 'm', adapters: [] }]
    directory.takeState('a:1', makeAgentState('', { models }))
    directory.takeState('b:1', makeAgentState('', { models }))
    report()
    directory.takeState('a:1', makeAgentState('', { models, leavingModels: ['m'] }))
    report()
    expect(sent[1]).to.deep.include({ replicas: [{ modelName: 'm', replicaCount: 1 }] })
  })

  it('reports that the last run of a model has ended', () => {
    const { directory, sent, report } = setUp()
    directory.own.noteRun(START, 'm')
    report()
    directory.own.noteRunEnd(START, 'm')
    report()
    expect(sent[1]).to.deep.include({ runningModels: [] })
  })

  it('reports at once that the last request of a model to be unloaded has ended', () => {
    const { directory, sent, report, reportLeaving } = setUp()
    directory.own.noteRun(START, 'm')
    report()
    directory.own.noteRunEnd(START, 'm')
    reportLeaving()
    expect(sent).to.have.length(1)
    directory.takeState('a:1', makeAgentState('a', { leavingModels: ['m'] }))
    reportLeaving()
    reportLeaving()
    expect(sent).to.have.length(2)
    expect(sent[1]).to.deep.include({ runningModels: [] })
  })
})
