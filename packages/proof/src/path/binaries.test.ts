import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { expect } from 'chai'
import { VERSION } from '@figmount/base'

const ROOT = join(import.meta.dirname, '../../../..')

describe('binaries of the package', () => {
  it('run through npx in a clone', () => {
    // The docs tell operators to call `npx figmountctl` in a built clone. Without a `bin` entry in package.json, npx
    // looks the name up in its registry instead of running the local file.
    const { bin } = JSON.parse(readFileSync(join(ROOT, 'package.json'), 'utf8')) as { readonly bin: Readonly<Record<string, string>> }
    expect(Object.keys(bin)).to.include.members(['figmount-router', 'figmount-agent', 'figmountctl', 'figmount-timeline'])
    for (const name of Object.keys(bin)) {
      const printed = execFileSync('npx', ['--no-install', name, '--version'], { cwd: ROOT, encoding: 'utf8' })
      expect(printed.trim(), name).to.equal(VERSION)
    }
  })
})
