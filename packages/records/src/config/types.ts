import * as z from 'zod'

import type { CallerName, LogOffset } from '@figmount/base'

/** Limits on configuration; they bound the agreed state and the memory of every process. */
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
  /** Only holders of slots with an index below this may load the adapter. */
  maxReplicas: z.int().min(1).max(ConfigLimit.replicasPerModel).optional()
})

const modelSpec = z.strictObject({
  name,
  versions: z.array(name).min(1).max(ConfigLimit.versionsPerModel),
  currentVersion: name,
  /** Replicas that stay loaded even when idle. */
  minReplicas: z.int().min(0).max(ConfigLimit.replicasPerModel),
  maxReplicas: z.int().min(1).max(ConfigLimit.replicasPerModel),
  memoryMb: z.int().min(1).max(ConfigLimit.modelMemoryMb),
  checkpointMb: z.int().min(1).max(ConfigLimit.modelMemoryMb),
  adapters: z.array(adapterSpec).max(ConfigLimit.adaptersPerModel).default([])
}).refine(model => model.versions.includes(model.currentVersion), 'currentVersion to be one of versions')
  .refine(model => model.minReplicas <= model.maxReplicas, 'minReplicas to be at most maxReplicas')
  .refine(model => areDistinct(model.versions), 'versions to be distinct')
  .refine(model => areDistinct(namesOf(model.adapters)), 'names of adapters to be distinct')

/** A service of models, or a plain HTTP service whose requests are routed unchanged. */
export const serviceSpec = z.strictObject({
  kind: z.enum(['models', 'plain']),
  models: z.array(modelSpec).max(ConfigLimit.modelsPerService).default([]),
  /** Priority of each kind of caller, from 0 to 9; higher priorities are served first. Kinds not listed have 0. */
  priorities: z.record(name, z.int().min(0).max(ConfigLimit.priority)).default({}),
  /** Weight of idle accelerator hours: 0 counts only the tail of cold-start times, 1 only idle hours. */
  idleCostWeight: z.number().min(0).max(1).default(0.5)
}).refine(service => areDistinct(namesOf(service.models)), 'names of models to be distinct')
  .refine(service => service.kind === 'models' || service.models.length === 0, 'a plain service to have no models')

/** A caller, identified by the hash of its key. */
export const callerSpec = z.strictObject({
  kind: name,
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits'),
  /** The caller's share of capacity under full load, relative to other callers. */
  share: z.number().positive().max(1000).default(1),
  /** The organisation that the caller belongs to. */
  tenant: name.default('default')
})

export type ServiceSpec = Readonly<z.infer<typeof serviceSpec>>
export type ModelSpec = Readonly<z.infer<typeof modelSpec>>
export type AdapterSpec = Readonly<z.infer<typeof adapterSpec>>
export type CallerSpec = Readonly<z.infer<typeof callerSpec>>

/** `service/<name>` or `caller/<name>`. */
export type ItemName = `service/${string}` | `caller/${string}`

/** One version of a configuration item. */
export interface ConfigVersion {
  readonly item: ItemName
  readonly version: number
  readonly offset: LogOffset
  readonly recordId: string
  readonly operatorName: string
  readonly changedAtMs: number
  /** The validated body as JSON; empty if retired. */
  readonly bodyJson: string
  readonly retired: boolean
}

/** The caller of a version in force, with its name. */
export interface CallerInForce extends CallerSpec {
  readonly name: CallerName
}
