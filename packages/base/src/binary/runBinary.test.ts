import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'

/** A daemon whose start runs `body`, as a program. */
const programOf = (body: string): string => `
  import * as z from 'zod'
  import { runBinary } from '${new URL('./runBinary.ts', import.meta.url).href}'
  const start = async ({ metrics, timers, events, stopSignal }) => {
    ${body}
    return { address: 'a:1', stop: async () => { process.stdout.write(metrics.text()) } }
  }
  await runBinary({ name: 'daemon', summary: '', role: 'r', schema: z.object({}), instanceOf: () => 'd', start })
`

interface Ended {
  readonly code: number | null
  readonly output: string
  readonly errors: string
}

describe('a daemon', () => {
  let folder = ''
  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'daemon-'))
    writeFileSync(join(folder, 'a.ini'), '')
  })
  after(() => { rmSync(folder, { recursive: true }) })

  /** Runs a daemon until it ends, and stops it once its output holds `stopAt`. */
  const run = async (body: string, stopAt: string): Promise<Ended> => {
    const args = ['--import=tsx', '--input-type=module', '--eval', programOf(body), 'daemon', '--settings', join(folder, 'a.ini'), '--event-lines']
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
    let [output, errors] = ['', '']
    child.stdout.on('data', data => {
      output += String(data)
      if (output.includes(stopAt)) child.kill('SIGTERM')
    })
    child.stderr.on('data', data => { errors += String(data) })
    return await new Promise(resolve => { child.once('close', code => { resolve({ code, output, errors }) }) })
  }

  it('goes on after exceptions and rejections that nothing caught', async () => {
    // Guards against one request's exception that ends all requests of the process.
    const { code, output } = await run(`
      setTimeout(() => { throw new Error('first') }, 50)
      setTimeout(() => { Promise.reject(new Error('second')) }, 60)
      setTimeout(() => { throw undefined }, 70)
      setTimeout(() => { process.stdout.write('still there\\n') }, 200)
    `, 'still there')
    expect(output).to.match(/"name":"processFailing".*"step":"uncaughtException","reason":"first"/)
    expect(output).to.match(/"name":"processFailing".*"step":"unhandledRejection","reason":"second"/)
    expect(output).to.contain('figmount_uncaught_exceptions_total 3')
    expect(output).to.contain('processStopped')
    expect(code).to.equal(0)
  })

  it('ends with a clear line if its start fails by an exception that nothing caught', async () => {
    // Guards against a process that lives without serving.
    const { code, errors } = await run('await new Promise(() => { setTimeout(() => { throw new Error(\'broken\') }, 10) })', 'never')
    expect(errors).to.contain('daemon: broken')
    expect(code).to.equal(1)
  })

  it('ends in order if it is stopped while it waits for its address', async () => {
    // Guards against a process that waits for an address for ever.
    const { code, output } = await run(`
      const { createServer } = await import('node:net')
      const { listenWhenFree } = await import('${new URL('../sockets/listenWhenFree.ts', import.meta.url).href}')
      const holder = createServer()
      await new Promise(resolve => { holder.listen(0, '127.0.0.1', resolve) })
      await listenWhenFree(createServer(), '127.0.0.1:' + holder.address().port, { timers, events, stopSignal })
    `, 'addressAwaited')
    expect(output).not.to.contain('processStarted')
    expect(code).to.equal(0)
  })

  it('ends with a clear line and its own code if its address is wrong', async () => {
    const { code, errors } = await run(`
      const { createServer } = await import('node:net')
      const { listenWhenFree } = await import('${new URL('../sockets/listenWhenFree.ts', import.meta.url).href}')
      await listenWhenFree(createServer(), '192.0.2.1:80', { timers, events, stopSignal })
    `, 'never')
    expect(errors).to.match(/daemon: listen EADDRNOTAVAIL.*192\.0\.2\.1/)
    expect(code).to.equal(4)
  })
})
