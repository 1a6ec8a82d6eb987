import { execFile } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { expect } from 'chai'
import { hashKey } from '@figmount/base'

import { createSite, OPERATOR_KEY } from '../rig/createSite.js'
import { sendToSite } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

const run = promisify(execFile)
const TOOL = join(import.meta.dirname, '../../../../dist/figmountctl.mjs')

const CONFIGURATION = `
[service/readers]
priorities = field:3

[service/readers/model/cracks]
versions = v1
current_version = v1
max_replicas = 1
memory_mb = 1000

[caller/crew]
kind = field
key_sha256 = ${hashKey('crew-key')}
`

let site: Site

/** Runs the tool; returns its output and exit code. */
const runCtl = async (...args: readonly string[]): Promise<{ readonly out: string, readonly code: number }> => {
  const settings = join(site.rig.folder, 'ctl.ini')
  writeFileSync(settings, `[routers]\naddresses = ${site.routerAddresses().join(', ')}\n[operator]\nkey = ${OPERATOR_KEY}\n`)
  try {
    const { stdout } = await run(process.execPath, [TOOL, '--settings', settings, ...args])
    return { out: stdout, code: 0 }
  } catch (error) {
    const { stdout, stderr, code } = error as { readonly stdout: string, readonly stderr: string, readonly code: number }
    return { out: `${stdout}${stderr}`, code }
  }
}

const apply = async (text: string): Promise<{ readonly out: string, readonly code: number }> => {
  const file = join(site.rig.folder, 'site.ini')
  writeFileSync(file, text)
  return await runCtl('apply', file, '--yes', '--wait-ms', '20000')
}

describe('figmountctl', () => {
  before(async () => {
    site = await createSite({ name: 'ctl', routers: [{ name: 'r1' }, { name: 'r2' }], agents: [{ name: 'a1', services: ['readers'] }] })
  })
  after(async () => { await site.close() })

  it('applies a file and reports when it is in force', async () => {
    const { out, code } = await apply(CONFIGURATION)
    expect(out).to.match(/\+ models\.cracks\.memoryMb = 1000/).and.to.match(/in force everywhere after \d+ ms/)
    expect(code).to.equal(0)
    expect((await apply(CONFIGURATION)).out).to.contain('nothing to change')
  })

  it('shows versions and rolls one back', async () => {
    expect((await apply(CONFIGURATION.replace('memory_mb = 1000', 'memory_mb = 2000'))).code).to.equal(0)
    expect((await runCtl('rollback', 'service/readers', '1', '--wait-ms', '20000')).code).to.equal(0)
    const history = JSON.parse((await runCtl('history', 'service/readers', '--json')).out) as ReadonlyArray<{ version: number }>
    expect(history.map(item => item.version)).to.include.members([1, 2, 3])
    expect((await runCtl('get', 'service/readers')).out).to.contain('"memoryMb": 1000')
  })

  it('shows status and explains a refusal', async () => {
    await site.rig.waitUntil('the slot to be granted', async () => (await runCtl('status')).out.includes('granted'))
    const { out } = await runCtl('status')
    expect(out).to.contain('a1').and.to.contain('readers/cracks').and.to.contain('log: reachable')
    expect((await sendToSite(site, { service: 'readers', model: 'cracks', prompt: 'wall', requestKey: 'seen' })).last.kind).to.equal('answered')
    expect((await runCtl('explain', 'seen')).out).to.contain('requestAnswered')
  })

  it('drains an instance and takes it back', async () => {
    expect((await runCtl('drain', 'a1')).code).to.equal(0)
    expect((await runCtl('drain', 'a1', '--undo')).code).to.equal(0)
    expect((await runCtl('drain', 'nobody')).code).to.equal(1)
  })

  it('rejects a file with mistakes before contacting a router', async () => {
    const { out, code } = await apply(CONFIGURATION.replace('max_replicas', 'max_replica'))
    expect(out).to.contain('[service/readers/model/cracks] max_replica: expected a known key')
    expect(code).to.equal(1)
  })
})
