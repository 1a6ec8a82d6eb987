import { expect } from 'chai'
import { describeSettingsFault } from '@figmount/base'

import { parseExperiment } from './parseExperiment.js'

const VALID_FILE = `
[experiment]
name = small
seed = 7
duration_s = 2.5

[caller/a]
key = secret

[traffic/t]
caller = a
service = s
models = m1, m2
arrivals = poisson
rate_per_second = 4

[fault/cut]
at_s = 1
address = 127.0.0.1:1
path = /control
body = {"x":1}
`

const faultsOf = (text: string): readonly string[] =>
  parseExperiment('e.ini', text).swap().orDefault([]).map(describeSettingsFault)

describe('experiment file', () => {
  it('is parsed', () => {
    const experiment = parseExperiment('e.ini', VALID_FILE).unsafeCoerce()
    expect(experiment).to.deep.include({ name: 'small', seed: 7, durationMs: 2500 })
    expect(experiment.traffic[0]).to.deep.include({ models: ['m1', 'm2'], ratePerSecond: 4, untilMs: 2500, repeatable: true })
    expect(experiment.faults[0]).to.deep.include({ atMs: 1000, bodyJson: '{"x":1}' })
  })

  it('is rejected with file, section and key', () => {
    expect(faultsOf(VALID_FILE.replace('rate_per_second = 4', 'rate = 4')))
      .to.include('e.ini: [traffic/t] rate: expected a known key, found an unknown key')
    expect(faultsOf(VALID_FILE.replace('seed = 7', 'seed = x')))
      .to.deep.equal(['e.ini: [experiment] seed: expected a whole number, found "x"'])
    expect(faultsOf(VALID_FILE.replace('caller = a', 'caller = b')))
      .to.deep.equal(['e.ini: [traffic/t] caller: expected the name of a [caller/NAME] section, found b'])
    expect(faultsOf(VALID_FILE.replace('{"x":1}', '{x}'))[0]).to.contain('[fault/cut] body: expected JSON')
    expect(faultsOf(VALID_FILE.replace('[traffic/t]', '[trafic/t]'))[0]).to.contain('[trafic/t]')
  })
})
