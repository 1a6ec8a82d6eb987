import { hashKey } from '@figmount/base'

import { judgeRun } from '../checks/judgeRun.js'
import { createRig } from './createRig.js'
import { applyChanges } from './operate.js'

import type { AgentPlan, ConfigChange, RouterPlan, SitePlan } from './sitePlan.js'
import type { IniSections, Rig, RigProcess } from './types.js'

/** A running deployment: the platform's stand-ins, backend servers, agents and routers. */
export interface Site {
  readonly rig: Rig
  readonly log: RigProcess
  readonly list: RigProcess
  readonly weights: RigProcess
  readonly router: (name: string) => RigProcess
  readonly agent: (name: string) => RigProcess
  /** The backend server beside an agent. */
  readonly backend: (agentName: string) => RigProcess
  /** The proxy on a connection, such as `a1-engine` or `r1-log`. */
  readonly proxy: (name: string) => RigProcess
  readonly routerAddresses: () => readonly string[]
  readonly addAgent: (plan: AgentPlan) => Promise<void>
  readonly addRouter: (plan: RouterPlan) => Promise<void>
  /** Removes an instance from the platform's instance list. */
  readonly delist: (name: string) => Promise<void>
  /** Adds a removed instance to the list again. */
  readonly relist: (name: string) => Promise<void>
  readonly apply: (changes: readonly ConfigChange[]) => Promise<void>
  /** Ends all processes and fails if their events show a violated guarantee. */
  readonly close: () => Promise<void>
}

export const SHARED_KEY = 'shared-key-of-the-rig'

export const OPERATOR_KEY = 'operator-key'

/** Agents poll the instance list at this short period, so that tests need not wait for it. */
const LIST_POLL_MS = 250

const DEFAULT_DATA_CENTRE = 'aa-1'

const findProcess = (processes: ReadonlyMap<string, RigProcess>, name: string): RigProcess => {
  const found = processes.get(name)
  if (!found) throw new Error(`the site has no ${name}: ${[...processes.keys()].join(' ')}`)
  return found
}

/** Starts a site: the platform's stand-ins first, then backend servers with their agents, then routers. */
export const createSite = async (plan: SitePlan): Promise<Site> => {
  const rig = createRig(plan.name)
  const processes = new Map<string, RigProcess>()
  const listEntries = new Map<string, object>()

  const startStandin = async (name: string, standin: IniSections[string]): Promise<RigProcess> => {
    const started = await rig.start({ name, binary: 'figmount-standin', sections: { process: { instance: name }, standin } })
    processes.set(name, started)
    return started
  }

  const startProxy = async (name: string, target: string): Promise<string> =>
    (await startStandin(`proxy-${name}`, { kind: 'proxy', target })).address

  /** Address to connect to: the target itself, or a new proxy in front of it. */
  const proxiedAddress = async (isProxied: boolean, name: string, target: string): Promise<string> =>
    isProxied ? await startProxy(name, target) : target

  const platformSections = async (name: string, proxied: readonly string[]): Promise<IniSections> => ({
    platform: {
      log: await proxiedAddress(proxied.includes('log'), `${name}-log`, log.address),
      instance_list: await proxiedAddress(proxied.includes('list'), `${name}-list`, list.address)
    }
  })

  const addToInstanceList = async (name: string, role: 'router' | 'agent', dataCentre: string, peerAddress: string, backendAddress = ''): Promise<void> => {
    const command = { action: 'set', instance: { name, role, dataCentre, peerAddress, backendAddress } }
    listEntries.set(name, command)
    await list.command(command)
  }

  const addAgent = async ({ name, services, dataCentre = DEFAULT_DATA_CENTRE, backend = 'engine', backendKeys = {}, proxied = [], sections = {}, nodeArguments = [] }: AgentPlan): Promise<void> => {
    const store: IniSections[string] = backend === 'engine' ? { weight_store: weights.address } : {}
    const server = await startStandin(`backend-${name}`, { kind: backend, ...store, ...backendKeys })
    const address = await proxiedAddress(proxied.includes('engine'), `${name}-engine`, server.address)
    const agent = await rig.start({
      name,
      binary: 'figmount-agent',
      nodeArguments,
      sections: {
        process: { instance: name, data_centre: dataCentre, host: '127.0.0.1', port: 0 },
        ...await platformSections(name, proxied),
        trust: { shared_key: SHARED_KEY },
        backend: { kind: backend, address, services: services.join(',') },
        tuning: { list_ms: LIST_POLL_MS },
        ...sections
      }
    })
    processes.set(name, agent)
    await addToInstanceList(name, 'agent', dataCentre, await proxiedAddress(proxied.includes('peer'), `${name}-peer`, agent.address), server.address)
  }

  const addRouter = async ({ name, dataCentre = DEFAULT_DATA_CENTRE, proxied = [], sections = {}, nodeArguments = [] }: RouterPlan): Promise<void> => {
    const router = await rig.start({
      name,
      binary: 'figmount-router',
      nodeArguments,
      sections: {
        process: { instance: name, data_centre: dataCentre, host: '127.0.0.1', port: 0 },
        ...await platformSections(name, proxied),
        trust: { shared_key: SHARED_KEY, operator_keys: `desk:${hashKey(OPERATOR_KEY)}` },
        ...sections
      }
    })
    processes.set(name, router)
    await addToInstanceList(name, 'router', dataCentre, await proxiedAddress(proxied.includes('peer'), `${name}-peer`, router.address))
  }

  const startPlatform = async (): Promise<readonly [RigProcess, RigProcess, RigProcess]> => await Promise.all([
    startStandin('log', { kind: 'log', ...plan.log }),
    startStandin('list', { kind: 'instances', ...plan.list }),
    startStandin('weights', { kind: 'weights', ...plan.weights })
  ])

  const routers = (): readonly RigProcess[] => plan.routers.map(router => findProcess(processes, router.name))

  const closeOnError = async <T>(work: Promise<T>): Promise<T> => {
    try {
      return await work
    } catch (error) {
      await rig.close()
      throw error
    }
  }

  const [log, list, weights] = await closeOnError(startPlatform())
  await closeOnError(Promise.all(plan.agents.map(addAgent)))
  await closeOnError(Promise.all(plan.routers.map(addRouter)))

  return {
    rig,
    log,
    list,
    weights,
    router: name => findProcess(processes, name),
    agent: name => findProcess(processes, name),
    backend: name => findProcess(processes, `backend-${name}`),
    proxy: name => findProcess(processes, `proxy-${name}`),
    routerAddresses: () => routers().filter(router => router.isRunning()).map(router => router.address),
    addAgent,
    addRouter,
    delist: async name => { await list.command({ action: 'remove', name }) },
    relist: async name => { await list.command(listEntries.get(name) ?? {}) },
    apply: async changes => await applyChanges(rig, routers()[0]?.address ?? '', OPERATOR_KEY, changes),
    close: async () => {
      await rig.close()
      const broken = judgeRun(rig.events.all())
      if (broken.length > 0) throw new Error(`the events of ${plan.name} show violated guarantees: ${broken.join('; ')}`)
    }
  }
}
