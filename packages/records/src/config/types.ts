import * as z from 'zod'

import type { CallerName, LogOffset } from '@figmount/base'

/** Limits on what an operator may configure; they bound state and memory of every process. */
export const ConfigLimit = {
  nameLength: 64,
  modelsPerService: 2000,
  adaptersPerModel: 2000,
  versionsPerModel: 20,
  replicasPerModel: 256,
  modelMemoryMb: 1_000_000,
  priority: 9
} as const

const areDistinct = (names: readonly string[]): boolean => new Set(names).size === names.length
const namesOf = (entries: ReadonlyArray<{ readonly name: string }>): readonly string[] => entries.map(entry => entry.name)

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]*$/, 'a name of a-z, 0-9, dot, dash and underscore').max(ConfigLimit.nameLength)

const adapterSpec = z.strictObject({
  name,
  memoryMb: z.int().min(1).max(ConfigLimit.modelMemoryMb),
  /** The adapter may be loaded only by holders of the first so many slots of its model. */
  maxReplicas: z.int().min(1).max(ConfigLimit.replicasPerModel).optional()
})

const modelSpec = z.strictObject({
  name,
  versions: z.array(name).min(1).max(ConfigLimit.versionsPerModel),
  currentVersion: name,
  /** Replicas kept loaded even when idle. */
  minReplicas: z.int().min(0).max(ConfigLimit.replicasPerModel),
  maxReplicas: z.int().min(1).max(ConfigLimit.replicasPerModel),
  memoryMb: z.int().min(1).max(ConfigLimit.modelMemoryMb),
  checkpointMb: z.int().min(1).max(ConfigLimit.modelMemoryMb),
  adapters: z.array(adapterSpec).max(ConfigLimit.adaptersPerModel).default([])
}).refine(model => model.versions.includes(model.currentVersion), 'currentVersion to be one of versions')
  .refine(model => model.minReplicas <= model.maxReplicas, 'minReplicas to be at most maxReplicas')
  .refine(model => areDistinct(model.versions), 'versions to be distinct')
  .refine(model => areDistinct(namesOf(model.adapters)), 'names of adapters to be distinct')

/** A service of models, or a plain HTTP service that is routed to as it is. */
export const serviceSpec = z.strictObject({
  kind: z.enum(['models', 'plain']),
  models: z.array(modelSpec).max(ConfigLimit.modelsPerService).default([]),
  /** Priority for each kind of caller, 0 to 9, higher goes first; kinds not named get 0. */
  priorities: z.record(name, z.int().min(0).max(ConfigLimit.priority)).default({}),
  /** 0 weighs only tail cold-start time, 1 only idle accelerator hours. */
  idleCostWeight: z.number().min(0).max(1).default(0.5)
}).refine(service => areDistinct(namesOf(service.models)), 'names of models to be distinct')
  .refine(service => service.kind === 'models' || service.models.length === 0, 'a plain service to have no models')

/** A caller, known by the hash of its key. */
export const callerSpec = z.strictObject({
  kind: name,
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits'),
  /** Share of a full system that this caller gets, relative to the others. */
  share: z.number().positive().max(1000).default(1),
  /** The firm or department that shares the platform with others. */
  tenant: name.default('default')
})

export type ServiceSpec = Readonly<z.infer<typeof serviceSpec>>
export type ModelSpec = Readonly<z.infer<typeof modelSpec>>
export type AdapterSpec = Readonly<z.infer<typeof adapterSpec>>
export type CallerSpec = Readonly<z.infer<typeof callerSpec>>

/** `service/<name>` or `caller/<name>`. */
export type ItemName = `service/${string}` | `caller/${string}`

/** One version of one item of the configuration. */
export interface ConfigVersion {
  readonly item: ItemName
  readonly version: number
  readonly offset: LogOffset
  readonly recordId: string
  readonly operatorName: string
  readonly changedAtMs: number
  /** The checked body as JSON; empty when retired. */
  readonly bodyJson: string
  readonly retired: boolean
}

/** A caller as it stands in force. */
export interface CallerInForce extends CallerSpec {
  readonly name: CallerName
}
