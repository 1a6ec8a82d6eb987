/** The two current deployments, scaled in time: one second of an experiment stands for about a minute. */
import { callerItem, modelService } from '@figmount/proof'

import type { AgentPlan, ConfigChange, RouterPlan, SitePlan } from '@figmount/proof'

interface ServiceShape {
  readonly name: string
  readonly modelCount: number
  readonly adapterCount: number
  readonly runnerCount: number
}

interface DeploymentShape {
  readonly name: string
  readonly dataCentres: readonly string[]
  readonly routerCount: number
  readonly services: readonly ServiceShape[]
  readonly loadsPerSecond: number
  readonly idleCostWeight: number
  readonly priorities: Readonly<Record<string, number>>
  readonly callerKinds: readonly string[]
}

/** Memory of an agent's engine: three to four models, so that about a third of all models are resident at once. */
const MEMORY_CAPACITY_MB = 64_000
const MODEL_SIZES_MB = [12_000, 16_000, 20_000, 24_000] as const
const ADAPTER_MB = 400
/** The store transfers a model of 16 GB in 0.8 s while fewer than five loads run. */
const TRANSFER_MB_PER_SECOND = 20_000
const FULL_SPEED_COUNT = 4

const CONSORTIUM: DeploymentShape = {
  name: 'consortium',
  dataCentres: ['aa-1', 'aa-2', 'aa-3'],
  routerCount: 3,
  services: [
    { name: 'reader-models', modelCount: 28, adapterCount: 60, runnerCount: 8 },
    { name: 'survey-app', modelCount: 11, adapterCount: 20, runnerCount: 3 }
  ],
  loadsPerSecond: 2,
  idleCostWeight: 0.2,
  priorities: { inspector: 8, conservator: 6, field: 3 },
  callerKinds: ['inspector', 'conservator', 'field']
}

const CARPATICA: DeploymentShape = {
  name: 'carpatica',
  dataCentres: ['cr-1', 'cr-2', 'cr-3', 'cr-4'],
  routerCount: 4,
  services: [
    { name: 'wear-models', modelCount: 30, adapterCount: 75, runnerCount: 13 },
    { name: 'depot-app', modelCount: 8, adapterCount: 20, runnerCount: 4 }
  ],
  loadsPerSecond: 4,
  idleCostWeight: 0.8,
  priorities: { safety: 8, foreman: 6, manager: 2 },
  callerKinds: ['safety', 'foreman', 'manager']
}

/** A site and the configuration to apply to it. */
export interface Deployment {
  readonly site: SitePlan
  readonly changes: readonly ConfigChange[]
}

const cyclicItem = <T>(values: readonly [T, ...T[]], index: number): T => values[index % values.length] ?? values[0]

const adaptersOf = (service: ServiceShape, modelIndex: number): ReadonlyArray<{ readonly name: string, readonly memoryMb: number }> => {
  const adapters: Array<{ readonly name: string, readonly memoryMb: number }> = []
  for (let index = modelIndex; index < service.adapterCount; index += service.modelCount) adapters.push({ name: `a${index}`, memoryMb: ADAPTER_MB })
  return adapters
}

const configOf = (shape: DeploymentShape) => (service: ServiceShape): ConfigChange => {
  const models = Array.from({ length: service.modelCount }, (_, index) => ({
    name: `m${index}`,
    maxReplicas: index === 0 ? 3 : index < 4 ? 2 : 1,
    memoryMb: cyclicItem(MODEL_SIZES_MB, index),
    checkpointMb: cyclicItem(MODEL_SIZES_MB, index),
    adapters: adaptersOf(service, index)
  }))
  const { name, body } = modelService(service.name, models, shape.priorities)
  return { name, body: { ...body, idleCostWeight: shape.idleCostWeight } }
}

const routersOf = (shape: DeploymentShape): readonly RouterPlan[] =>
  Array.from({ length: shape.routerCount }, (_, index) => ({ name: `r${index}`, dataCentre: shape.dataCentres[index % shape.dataCentres.length] ?? '' }))

const agentsOf = (shape: DeploymentShape): readonly AgentPlan[] =>
  shape.services.flatMap(service => Array.from({ length: service.runnerCount }, (_, index) => ({
    name: `${service.name}-${index}`,
    services: [service.name],
    dataCentre: shape.dataCentres[index % shape.dataCentres.length] ?? '',
    backendKeys: { memory_capacity_mb: MEMORY_CAPACITY_MB, memory_tier_mb: 0, disk_tier_mb: 60_000 }
  })))

const makeDeployment = (shape: DeploymentShape): Deployment => ({
  site: {
    name: shape.name,
    routers: routersOf(shape),
    agents: agentsOf(shape),
    weights: { loads_per_second: shape.loadsPerSecond, full_speed_count: FULL_SPEED_COUNT, transfer_mb_per_second: TRANSFER_MB_PER_SECOND }
  },
  changes: [...shape.callerKinds.map(kind => callerItem(kind, kind)), ...shape.services.map(configOf(shape))]
})

/** Deployments by name; the experiment file of each is `experiments/NAME.ini`. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  consortium: makeDeployment(CONSORTIUM),
  carpatica: makeDeployment(CARPATICA)
}
