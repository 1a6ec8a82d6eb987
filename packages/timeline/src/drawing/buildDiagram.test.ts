import { expect } from 'chai'

import { orderEvents } from '../ordering/orderEvents.js'
import { buildDiagram } from './buildDiagram.js'
import { renderSvg } from './renderSvg.js'

import type { EventRecord, InstanceName } from '@figmount/base'

const event = (name: string, atUnixMs: number, sequence: number, fields: Partial<EventRecord> = {}): EventRecord =>
  ({ number: 1, name, instance: 'r1' as InstanceName, role: 'router', sequence, clock: sequence, atUnixMs, ...fields })

describe('diagram', () => {
  it('joins a start event and an end event into a span', () => {
    const diagram = buildDiagram(orderEvents([
      event('requestReceived', 0, 0, { requestKey: 'k' }), event('requestRefused', 50, 1, { requestKey: 'k' })
    ]))
    expect(diagram.spans).to.deep.equal([{ lane: 'r1', kind: 'request', label: 'k', fromMs: 0, toMs: 50, end: 'refused' }])
  })

  it('extends a span without an end event to the last event', () => {
    const diagram = buildDiagram(orderEvents([event('requestReceived', 0, 0, { requestKey: 'k' }), event('other', 70, 1)]))
    expect(diagram.spans[0]).to.deep.include({ toMs: 70, end: 'open' })
  })

  it('omits processes that only started and keeps those with a span or a severe mark', () => {
    const started = { instance: 'idle' as InstanceName }
    const died = { instance: 'dead' as InstanceName }
    const diagram = buildDiagram(orderEvents([
      event('processStarted', 0, 0, started), event('engineDied', 5, 0, died), event('requestReceived', 10, 0, { requestKey: 'k' })
    ]))
    expect(diagram.lanes).to.deep.equal(['dead', 'r1'])
  })

  it('shows the wait and the run of a request as spans', () => {
    const fields = { requestKey: 'k', model: 'm' }
    const { spans } = buildDiagram(orderEvents([
      event('requestTaken', 0, 0, fields), event('modelAwaited', 1, 1, fields), event('requestSent', 400, 2, { ...fields, peer: 's1' }),
      event('requestAnswered', 900, 3, fields)
    ]))
    expect(spans.map(({ kind, label, fromMs, toMs }) => ({ kind, label, fromMs, toMs }))).to.deep.equal([
      { kind: 'request', label: 'k', fromMs: 0, toMs: 900 },
      { kind: 'load', label: 'wait for m', fromMs: 1, toMs: 400 },
      { kind: 'run', label: 'k at s1', fromMs: 400, toMs: 900 }
    ])
  })

  it('escapes labels in the SVG', () => {
    const diagram = buildDiagram(orderEvents([event('requestReceived', 0, 0, { requestKey: '<k>' }), event('other', 70, 1)]))
    expect(renderSvg(diagram)).to.contain('&lt;k&gt;').and.not.to.contain('<k>')
  })
})
