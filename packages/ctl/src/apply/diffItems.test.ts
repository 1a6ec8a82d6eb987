import { expect } from 'chai'
import { create } from '@bufbuild/protobuf'
import { ConfigItemSchema } from '@figmount/schema'

import { diffItems, renderChange } from './diffItems.js'

import type { ConfigDraft } from '../configFile/types.js'

const draft = (share: number): ConfigDraft =>
  ({ name: 'caller/a', spec: { kind: 'inspector', keySha256: 'a'.repeat(64), share, tenant: 'default' } })

const item = (share: number, retired = false) =>
  create(ConfigItemSchema, { name: 'caller/a', version: 3n, bodyJson: retired ? '' : JSON.stringify(draft(share).spec), retired })

describe('diff of items', () => {
  it('is empty for equal items', () => {
    expect(diffItems([draft(1)], [item(1)])).to.deep.equal([])
  })

  it('shows a changed value', () => {
    const [change] = diffItems([draft(2)], [item(1)])
    expect(change && renderChange(change)).to.deep.equal(['caller/a (version 3 → 4)', '  - share = 1', '  + share = 2'])
  })

  it('shows all values of a new item, also of one that was retired before', () => {
    expect(diffItems([draft(1)], [])[0]).to.deep.include({ expectedVersion: 0 })
    expect(diffItems([draft(1)], [item(1, true)])[0]?.changes).to.have.length(4)
  })
})
