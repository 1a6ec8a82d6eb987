import { expect } from 'chai'

import { createFakeRecords } from '../testing/createFakeRecords.js'
import { admitPlain, isRepeatable, splitPath } from './admitPlain.js'

import type { CallerName } from '@figmount/base'
import type { PlainRequest } from './admitPlain.js'

const records = createFakeRecords()
records.put({ kind: 'config.set', item: 'service/survey-app', expectedVersion: 0, bodyJson: '{"kind":"plain"}', operatorName: 'op' })
const caller = { name: 'crew' as CallerName, kind: 'crew', keySha256: '', share: 1, tenant: 't' }
const limits = { prompt_bytes: 10, max_tokens: 1, deadline_ms: 60_000, admitted_count: 1 }
const call: PlainRequest = { method: 'POST', url: '/plain/survey-app/flags?x=1', headers: { 'figmount-request-key': 'k', 'figmount-issued-at-ms': '5', host: 'h', accept: 'a' }, body: new Uint8Array() }

const admit = (request: PlainRequest) => admitPlain({ state: records.state(), limits, nowMs: 0, unixMs: 5 }, caller, request)
const detailOf = (request: PlainRequest): string => admit(request).swap().map(note => note.detail).orDefault('')

describe('calls to plain services', () => {
  it('keep their path and headers except hop-by-hop headers', () => {
    expect(splitPath('/plain/a?x=1')).to.deep.equal({ service: 'a', path: '/?x=1' })
    const { run } = admit(call).unsafeCoerce()
    expect(run.plain?.path).to.equal('/flags?x=1')
    expect(run.plain?.headers.map(([name]) => name)).to.deep.equal(['figmount-request-key', 'figmount-issued-at-ms', 'accept'])
  })

  it('are repeatable depending on the method unless a header overrides it', () => {
    expect(isRepeatable({ method: 'GET', headers: {} })).to.equal(true)
    expect(isRepeatable({ method: 'POST', headers: {} })).to.equal(false)
    expect(isRepeatable({ method: 'POST', headers: { 'figmount-repeatable': 'true' } })).to.equal(true)
  })

  it('are refused with a detail that names the error', () => {
    expect(detailOf({ ...call, headers: {} })).to.contain('needs figmount-request-key')
    expect(detailOf({ ...call, headers: { ...call.headers, 'figmount-deadline-ms': 'soon' } })).to.contain('figmount-deadline-ms')
    expect(detailOf({ ...call, body: new Uint8Array(11) })).to.contain('larger than 10 bytes')
    expect(detailOf({ ...call, url: '/plain/other/' })).to.contain('no plain service "other"')
  })
})
