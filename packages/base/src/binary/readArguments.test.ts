import { expect } from 'chai'

import { parseKnownOptions } from './readArguments.js'

const read = (line: string) => parseKnownOptions(line.split(' '))

describe('a daemon\'s command line', () => {
  it('is parsed without yargs if it only has known options', () => {
    expect(read('--settings /a.ini --event-lines --event-lines-per-s 200'))
      .to.deep.equal({ settings: '/a.ini', check: false, eventLines: true, eventLinesPerS: 200 })
    expect(read('--check --settings a')).to.deep.equal({ settings: 'a', check: true, eventLines: false, eventLinesPerS: 0 })
  })

  it('is left to yargs otherwise', () => {
    const lines = ['--help', '--check', '--settings', '--settings --check', '--settings=a', '--settings a b', '--settings a --event-lines-per-s x', '--settings a --no-check']
    expect(lines.map(read)).to.deep.equal(lines.map(() => undefined))
  })
})
