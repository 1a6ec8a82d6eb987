import { expect } from 'chai'

import { orderEvents } from '../ordering/orderEvents.js'
import { buildPicture } from './buildPicture.js'
import { renderSvg } from './renderSvg.js'

import type { EventRecord, InstanceName } from '@figmount/base'

const event = (name: string, atUnixMs: number, sequence: number, fields: Partial<EventRecord> = {}): EventRecord =>
  ({ number: 1, name, instance: 'r1' as InstanceName, role: 'router', sequence, clock: sequence, atUnixMs, ...fields })

describe('picture', () => {
  it('joins the two ends of a span', () => {
    const picture = buildPicture(orderEvents([
      event('requestReceived', 0, 0, { requestKey: 'k' }), event('requestRefused', 50, 1, { requestKey: 'k' })
    ]))
    expect(picture.spans).to.deep.equal([{ lane: 'r1', kind: 'request', label: 'k', fromMs: 0, toMs: 50, end: 'refused' }])
  })

  it('leaves a span without an end open until the last event', () => {
    const picture = buildPicture(orderEvents([event('requestReceived', 0, 0, { requestKey: 'k' }), event('other', 70, 1)]))
    expect(picture.spans[0]).to.deep.include({ toMs: 70, end: 'open' })
  })

  it('leaves out processes that only started, and shows those to which something happened', () => {
    const started = { instance: 'idle' as InstanceName }
    const died = { instance: 'dead' as InstanceName }
    const picture = buildPicture(orderEvents([
      event('processStarted', 0, 0, started), event('engineDied', 5, 0, died), event('requestReceived', 10, 0, { requestKey: 'k' })
    ]))
    expect(picture.lanes).to.deep.equal(['dead', 'r1'])
  })

  it('draws the path of a request that waited and ran', () => {
    const of = { requestKey: 'k', model: 'm' }
    const { spans } = buildPicture(orderEvents([
      event('requestTaken', 0, 0, of), event('modelAwaited', 1, 1, of), event('requestSent', 400, 2, { ...of, peer: 's1' }),
      event('requestAnswered', 900, 3, of)
    ]))
    expect(spans.map(({ kind, label, fromMs, toMs }) => ({ kind, label, fromMs, toMs }))).to.deep.equal([
      { kind: 'request', label: 'k', fromMs: 0, toMs: 900 },
      { kind: 'load', label: 'wait for m', fromMs: 1, toMs: 400 },
      { kind: 'run', label: 'k at s1', fromMs: 400, toMs: 900 }
    ])
  })

  it('escapes what it draws', () => {
    const picture = buildPicture(orderEvents([event('requestReceived', 0, 0, { requestKey: '<k>' }), event('other', 70, 1)]))
    expect(renderSvg(picture)).to.contain('&lt;k&gt;').and.not.to.contain('<k>')
  })
})
