import { expect } from 'chai'

import { orderEvents } from '../ordering/orderEvents.js'
import { explainRequest } from './explainRequest.js'

import type { EventRecord } from '@figmount/base'

let sequence = 0
const record = (atUnixMs: number, instance: string, name: string, fields: Partial<EventRecord> = {}): EventRecord => {
  sequence += 1
  return { number: 1, name, instance, role: 'router', sequence, clock: sequence, atUnixMs, ...fields } as EventRecord
}

const explain = (...events: readonly EventRecord[]) => explainRequest(orderEvents(events), 'k')
const namesOf = (explanation: ReturnType<typeof explain>): readonly string[] => explanation.events.map(({ event }) => event.name)

describe('explainRequest', () => {
  it('shows that the router was stopping while the request waited', () => {
    // A request waits for a model at a router that is stopping; the wait is its last event.
    const explanation = explain(
      record(1_000, 'r1', 'processStopping'),
      record(1_900, 'r1', 'requestTaken', { requestKey: 'k', model: 'm' }),
      record(1_901, 'r1', 'modelAwaited', { requestKey: 'k', model: 'm', peer: 's1' }),
      record(1_902, 'a1', 'wantTaken', { model: 'm', peer: 'r1' }),
      record(1_903, 'a2', 'wantTaken', { model: 'other', peer: 'r1' }),
      record(9_000, 'r1', 'processStopped')
    )
    expect(namesOf(explanation)).to.deep.equal(['processStopping', 'requestTaken', 'modelAwaited'])
    expect(explanation.conclusion).to.equal('no end is recorded; modelAwaited is its last event and it had not been sent to a server')
  })

  it('shows that the engine that ran the request went down', () => {
    const explanation = explain(
      record(5_000, 'r1', 'requestTaken', { requestKey: 'k' }),
      record(5_001, 'r1', 'requestSent', { requestKey: 'k', peer: 's1' }),
      record(5_300, 'a1', 'engineDown', { peer: 's1' }),
      record(5_301, 'a2', 'engineDown', { peer: 's2' }),
      record(5_400, 'r1', 'requestFailed', { requestKey: 'k', peer: 's1', reason: 'aborted', waitMs: 400 })
    )
    expect(namesOf(explanation)).to.deep.equal(['requestTaken', 'requestSent', 'engineDown', 'requestFailed'])
    expect(explanation.conclusion).to.equal('ended without a complete answer after 400 ms and may have run at s1: aborted')
  })

  it('reports the reason and the retry time of a refusal', () => {
    const refused = record(1, 'r1', 'requestRefused', { requestKey: 'k', reason: 'no server', waitMs: 3, retryAfterMs: 1_000 })
    expect(explain(refused).conclusion).to.equal('refused after 3 ms, not run: no server; it may be retried after 1000 ms')
  })

  it('reports an unknown key and an exceeded limit', () => {
    const limited = record(1, 'r1', 'requestLimited', { requestKey: 'k', organisation: 'acme', retryAfterMs: 300 })
    expect(explain(limited).conclusion).to.equal('refused with 429, not run: acme had exceeded its limit; it may be retried after 300 ms')
    const unknown = record(1, 'r1', 'keyUnknown', { requestKey: 'k', reason: 'unknown key' })
    expect(explain(unknown).conclusion).to.equal('refused with 401, not run: unknown key, according to the router\'s configuration at that time')
  })

  it('reports where the request had been sent when its caller disconnected', () => {
    const left = explain(
      record(1, 'r1', 'requestSent', { requestKey: 'k', peer: 's1' }), record(900, 'r1', 'requestLeft', { requestKey: 'k', waitMs: 899 })
    )
    expect(left.conclusion).to.equal('its caller disconnected after 899 ms; it had been sent to s1')
  })

  it('reports that no event names the request', () => {
    expect(explain(record(1, 'r1', 'processStarted'))).to.deep.include({ isFound: false, events: [] })
  })
})
