/** Starts figmount's programs with the commands of the deploy file, beside stand-ins of the platform, and writes the record of a case. */
import { fork, spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, connect } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { startStore } from './store.mjs'

const HERE = dirname(fileURLToPath(import.meta.url))
const ROOT = join(HERE, '../..')
const RUNNER = join(HERE, 'runner.mjs')
const START_LIMIT_MS = 15_000
const LIMIT_MS = 110_000

/** Time between two heartbeats of a runner. */
const HEARTBEAT_MS = 1_200

export const sleep = async ms => await new Promise(resolve => { setTimeout(resolve, ms) })

/** Bounds of the sites of the platform's page. */
export const BOUNDS = { 'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'budget-slack': 54, 'grace-s': 8, 'drain-ms': 2_000 }

export const hasTrouble = process.env.TROUBLE !== '0'

const findFreePort = async () => await new Promise(resolve => {
  const probe = createServer()
  probe.listen(0, '127.0.0.1', () => {
    const { port } = probe.address()
    probe.close(() => resolve(port))
  })
})

/** Fills the placeholders of a settings template: plain names, with dots, and no sections. */
const fill = (template, fields) => template.replace(/\{\{([^}]+)\}\}/g, (_, path) => {
  let value = fields
  for (const name of path.split('.')) value = value?.[name]
  return value === undefined ? '' : String(value)
})

const readRole = role => {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').split(`[roles.${role}]`)[1].split('\n[')[0]
  const field = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1]
  return { words: field('run').split(' '), template: readFileSync(join(ROOT, field('template')), 'utf8') }
}

/** Starts a site; call `close` at its end. `folder`: where the record is written. */
export const startSite = async folder => {
  const temporary = mkdtempSync(join(tmpdir(), 'figmount-review-'))
  const net = `127.${60 + Math.floor(Math.random() * 100)}.${1 + Math.floor(Math.random() * 250)}`
  const agentPort = await findFreePort()
  const startedMs = Date.now()
  const lines = []
  const children = new Set()
  let nextHost = 1

  const record = (what, fields = {}) => { lines.push(`${((Date.now() - startedMs) / 1_000).toFixed(3)} ${what} ${JSON.stringify(fields)}`) }

  const newHost = () => `${net}.${nextHost++}`

  const store = await startStore(newHost(), HEARTBEAT_MS, (topic, key, value) => {
    if (topic === 'keyed.servers') record('entry', { key, state: value?.state, version: value?.version, born: value?.born, sequence: value?.sequence })
    else record('operator writes', { key, version: value?.version })
  })

  const track = (child, name) => {
    children.add(child)
    child.once('exit', (code, signal) => {
      children.delete(child)
      record('process ended', { name, code, signal })
    })
  }

  /** Starts one of figmount's programs; `fields` are those of the settings that the platform gives. */
  const startProgram = async (role, name, fields) => {
    const { words: [program, ...words], template } = readRole(role)
    const file = join(temporary, `${name}.ini`)
    writeFileSync(file, fill(template, fields))
    const child = spawn(program === 'node' ? process.execPath : program, words.map(word => word === '/etc/figmount/local.toml' ? file : word), { cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'] })
    track(child, name)
    const events = []
    let errors = ''
    child.stderr.on('data', bytes => { errors += String(bytes) })
    await new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`${name} did not start: ${errors}`)), START_LIMIT_MS)
      createInterface({ input: child.stdout }).on('line', text => {
        const event = JSON.parse(text)
        events.push(event)
        if (event.name !== 'processStarted') return
        clearTimeout(timer)
        resolve()
      })
    })
    record('program started', { name, pid: child.pid })
    return { name, child, events }
  }

  const machineFields = (name, zone, ip, storeAddress) => ({
    'node-name': name,
    zone,
    ip,
    'port-range': [agentPort, agentPort + 15],
    bootstrap: true,
    limits: { 'link-mbps': 1_000 },
    platform: { address: storeAddress },
    bounds: BOUNDS
  })

  const startRouter = async ({ name, zone = 'east', storeAddress = store.address, ip = newHost() }) => {
    const listen = { front: `${ip}:8149`, ready: `${ip}:8141` }
    const program = await startProgram('router', name, { ...machineFields(name, zone, ip, storeAddress), listen })
    return { ...program, address: listen.front, readyAddress: listen.ready }
  }

  const startAgent = async ({ name, zone = 'east', ip, app, service, storeAddress = store.address }) =>
    await startProgram('agent', name, { ...machineFields(name, zone, ip, storeAddress), app, service })

  /** Starts a runner; resolves with its address and what it does. A restart is a call with the same `id`, `host` and `port`. */
  const startRunner = async (settings, onLine = () => {}) => {
    const child = fork(RUNNER, [JSON.stringify({ port: 0, zone: 'east', heartbeatMs: HEARTBEAT_MS, slots: 8, store: store.address, ...settings })], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] })
    track(child, settings.id)
    const done = []
    const address = await new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`${settings.id} did not start`)), START_LIMIT_MS)
      createInterface({ input: child.stdout }).on('line', text => {
        const line = JSON.parse(text)
        done.push(line)
        record('runner', line)
        onLine(line)
        if (line.what !== 'started') return
        clearTimeout(timer)
        resolve(line.address)
      })
    })
    return { id: settings.id, child, address, done, settings }
  }

  const isReady = async address => await new Promise(resolve => {
    const [host, port] = address.split(':')
    const socket = connect({ host, port: Number(port) })
    let text = ''
    socket.on('data', bytes => { text += String(bytes) })
    socket.on('error', () => resolve(false))
    socket.on('close', () => resolve(text.startsWith('HTTP/1.1 200')))
    socket.write('GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n')
  })

  const awaitReady = async routers => {
    for (const { readyAddress, name } of routers) {
      for (let tries = 0; !await isReady(readyAddress); tries++) {
        if (tries > 200) throw new Error(`${name} is not ready`)
        await sleep(50)
      }
    }
  }

  const close = async () => {
    const ends = [...children].map(async child => await new Promise(resolve => { child.once('exit', resolve) }))
    for (const child of children) child.kill('SIGKILL')
    await Promise.all(ends)
    store.close()
    rmSync(temporary, { recursive: true })
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
  }

  return { net, store, record, newHost, startRouter, startAgent, startRunner, awaitReady, close, agentPort }
}

/**
 * Plays a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. `play` gets the site and returns the number of
 * breaches that a caller, a runner or the platform has seen, and what there was to see.
 */
export const playCase = async (folder, play) => {
  let code = 2
  let site
  const timer = setTimeout(() => {
    process.stderr.write('the case took too long\n')
    process.exit(2)
  }, LIMIT_MS)
  try {
    site = await startSite(folder)
    const { isBroken, summary } = await play(site)
    site.record('verdict', { isBroken, summary })
    process.stdout.write(`${isBroken ? 'BROKEN' : 'held'}: ${summary}\n`)
    code = isBroken ? 1 : 0
  } catch (error) {
    process.stderr.write(`${error.stack}\n`)
    site?.record('could not run', { reason: error.message })
  }
  await site?.close()
  clearTimeout(timer)
  process.exit(code)
}
