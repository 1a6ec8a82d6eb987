import { expect } from 'chai'
import { describeSettingsFault } from '@figmount/base'

import { parseConfigFile } from './parseConfigFile.js'

const VALID_FILE = `
[service/reader]
priorities = inspector:9, archive:1
idle_cost_weight = 0.2

[service/reader/model/base]
versions = v1, v2
current_version = v2
max_replicas = 2
memory_mb = 4000

[service/reader/model/base/adapter/salt]
memory_mb = 100

[caller/inspector-1]
kind = inspector
key_sha256 = ${'a'.repeat(64)}
`

const faultsOf = (text: string): readonly string[] =>
  parseConfigFile('c.ini', text).swap().orDefault([]).map(describeSettingsFault)

describe('configuration file', () => {
  it('is parsed into items', () => {
    const drafts = parseConfigFile('c.ini', VALID_FILE).unsafeCoerce()
    expect(drafts.map(draft => draft.name)).to.deep.equal(['service/reader', 'caller/inspector-1'])
    expect(drafts[0]?.spec).to.deep.include({ idleCostWeight: 0.2, priorities: { inspector: 9, archive: 1 } })
    expect(JSON.stringify(drafts[0]?.spec)).to.contain('"adapters":[{"name":"salt","memoryMb":100}]')
  })

  it('reports an unknown key', () => {
    expect(faultsOf(VALID_FILE.replace('kind = inspector', 'kind = inspector\nknid = x')))
      .to.deep.equal(['c.ini: [caller/inspector-1] knid: expected a known key, found an unknown key'])
  })

  it('reports an invalid value', () => {
    expect(faultsOf(VALID_FILE.replace('max_replicas = 2', 'max_replicas = two')))
      .to.deep.equal(['c.ini: [service/reader/model/base] max_replicas: expected a whole number, found "two"'])
  })

  it('reports a section of unknown form and one without its parent section', () => {
    expect(faultsOf(`${VALID_FILE}\n[servise/x]\nkind = models\n`)[0]).to.contain('[servise/x]')
    expect(faultsOf(`${VALID_FILE}\n[service/y/model/m]\nversions = v1\n`)[0]).to.contain('a parent section [service/y]')
  })

  it('reports a current version that is not listed', () => {
    expect(faultsOf(VALID_FILE.replace('current_version = v2', 'current_version = v3'))[0])
      .to.contain('currentVersion to be one of versions')
  })
})
