import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { expect } from 'chai'
import { VERSION } from '@figmount/base'

const ROOT = join(import.meta.dirname, '../../../..')

describe('the programs of a clone', () => {
  it('are found by npx', () => {
    // An operator builds a clone and calls `npx figmountctl`, as the pages say. npm knew of no such program and asked its registry
    // for one: the package named none.
    const { bin } = JSON.parse(readFileSync(join(ROOT, 'package.json'), 'utf8')) as { readonly bin: Readonly<Record<string, string>> }
    expect(Object.keys(bin)).to.include.members(['figmount-router', 'figmount-agent', 'figmountctl', 'figmount-timeline'])
    for (const name of Object.keys(bin)) {
      const printed = execFileSync('npx', ['--no-install', name, '--version'], { cwd: ROOT, encoding: 'utf8' })
      expect(printed.trim(), name).to.equal(VERSION)
    }
  })
})
