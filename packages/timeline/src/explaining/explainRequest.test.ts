import { expect } from 'chai'

import { orderEvents } from '../ordering/orderEvents.js'
import { explainRequest } from './explainRequest.js'

import type { EventRecord } from '@figmount/base'

let sequence = 0
const line = (atUnixMs: number, instance: string, name: string, fields: Partial<EventRecord> = {}): EventRecord => {
  sequence += 1
  return { number: 1, name, instance, role: 'router', sequence, clock: sequence, atUnixMs, ...fields } as EventRecord
}

const explain = (...events: readonly EventRecord[]) => explainRequest(orderEvents(events), 'k')
const namesOf = (explanation: ReturnType<typeof explain>): readonly string[] => explanation.events.map(({ event }) => event.name)

describe('explaining a request', () => {
  it('shows a stop under a wait', () => {
    // A request waits for a model at a router that is told to stop; its last line is the wait.
    const explanation = explain(
      line(1_000, 'r1', 'processStopping'),
      line(1_900, 'r1', 'requestTaken', { requestKey: 'k', model: 'm' }),
      line(1_901, 'r1', 'modelAwaited', { requestKey: 'k', model: 'm', peer: 's1' }),
      line(1_902, 'a1', 'wantTaken', { model: 'm', peer: 'r1' }),
      line(1_903, 'a2', 'wantTaken', { model: 'other', peer: 'r1' }),
      line(9_000, 'r1', 'processStopped')
    )
    expect(namesOf(explanation)).to.deep.equal(['processStopping', 'requestTaken', 'modelAwaited'])
    expect(explanation.conclusion).to.equal('no end is on record; modelAwaited is the last line and it had not been sent to a server')
  })

  it('shows the end of the server that a request ran at', () => {
    const explanation = explain(
      line(5_000, 'r1', 'requestTaken', { requestKey: 'k' }),
      line(5_001, 'r1', 'requestSent', { requestKey: 'k', peer: 's1' }),
      line(5_300, 'a1', 'engineDown', { peer: 's1' }),
      line(5_301, 'a2', 'engineDown', { peer: 's2' }),
      line(5_400, 'r1', 'requestFailed', { requestKey: 'k', peer: 's1', reason: 'aborted', waitMs: 400 })
    )
    expect(namesOf(explanation)).to.deep.equal(['requestTaken', 'requestSent', 'engineDown', 'requestFailed'])
    expect(explanation.conclusion).to.equal('ended without a whole answer after 400 ms and may have run at s1: aborted')
  })

  it('tells a refusal with its reason and time', () => {
    const refused = line(1, 'r1', 'requestRefused', { requestKey: 'k', reason: 'no server', waitMs: 3, retryAfterMs: 1_000 })
    expect(explain(refused).conclusion).to.equal('refused after 3 ms, not run: no server; it may come back after 1000 ms')
  })

  it('tells of an unknown key and of a limit that is used up', () => {
    const limited = line(1, 'r1', 'requestLimited', { requestKey: 'k', organisation: 'acme', retryAfterMs: 300 })
    expect(explain(limited).conclusion).to.equal('refused with 429, not run: acme was beyond its limit; it may come back after 300 ms')
    const unknown = line(1, 'r1', 'keyUnknown', { requestKey: 'k', reason: 'unknown key' })
    expect(explain(unknown).conclusion).to.equal('refused with 401, not run: unknown key, by the configuration that the router had then')
  })

  it('tells where a caller left that had heard nothing', () => {
    const left = explain(
      line(1, 'r1', 'requestSent', { requestKey: 'k', peer: 's1' }), line(900, 'r1', 'requestLeft', { requestKey: 'k', waitMs: 899 })
    )
    expect(left.conclusion).to.equal('its caller left after 899 ms; it had been sent to s1')
  })

  it('says so when no line names the request', () => {
    expect(explain(line(1, 'r1', 'processStarted'))).to.deep.include({ isFound: false, events: [] })
  })
})
