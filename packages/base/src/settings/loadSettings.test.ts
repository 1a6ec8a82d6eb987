import { expect } from 'chai'
import * as z from 'zod'

import { describeSettingsFault, parseSettings } from './loadSettings.js'

const schema = z.strictObject({ process: z.strictObject({ port: z.coerce.number().int('a whole number') }) })

const faultsOf = (text: string): readonly string[] =>
  parseSettings(schema, 'a.ini', text).swap().orDefault([]).map(describeSettingsFault)

describe('settings', () => {
  it('are parsed by the schema', () => {
    expect(parseSettings(schema, 'a.ini', '[process]\nport = 80\n').unsafeCoerce()).to.deep.equal({ process: { port: 80 } })
  })

  it('report an unknown key', () => {
    expect(faultsOf('[process]\nport = 80\nprot = 81\n'))
      .to.deep.equal(['a.ini: [process] prot: expected a known key, found an unknown key'])
  })

  it('report every mistake', () => {
    const faults = faultsOf('[process]\nport = 8.5\n[other]\n')
    expect(faults).to.have.length(2)
    expect(faults[0]).to.equal('a.ini: [process] port: expected a whole number, found "8.5"')
  })
})
