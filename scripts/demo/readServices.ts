import { readFileSync } from 'node:fs'
import { hashKey, parseSettings } from '@figmount/base'
import * as z from 'zod'

import type { ConfigChange } from '@figmount/proof'

const pairs = z.string().default('').transform(text => text.split(',').map(part => part.trim()).filter(part => part !== '').map(part => {
  const [name = '', value = ''] = part.split(':')
  return { name, value: Number(value) }
}))

const callerSection = z.strictObject({ kind: z.string(), key: z.string(), share: z.coerce.number().positive().default(1) })

const serviceSection = z.strictObject({ kind: z.enum(['models', 'plain']), priorities: pairs, idle_cost_weight: z.coerce.number().min(0).max(1).default(0.5) })

const modelSection = z.strictObject({
  versions: z.string().default('v1').transform(text => text.split(',').map(version => version.trim())),
  max_replicas: z.coerce.number().int().positive().default(1),
  memory_mb: z.coerce.number().int().positive().default(20_000),
  checkpoint_mb: z.coerce.number().int().positive().default(12_000),
  adapters: pairs
})

const servicesFile = z.record(z.string(), z.record(z.string(), z.unknown()))

type Sections = z.infer<typeof servicesFile>

const sectionsOf = (sections: Sections, kind: string): ReadonlyArray<readonly [path: string, body: unknown]> =>
  Object.entries(sections).filter(([name]) => name.startsWith(`${kind}/`)).map(([name, body]) => [name.slice(kind.length + 1), body])

const callerOf = ([name, body]: readonly [string, unknown]): ConfigChange => {
  const { kind, key, share } = callerSection.parse(body)
  return { name: `caller/${name}`, body: { kind, keySha256: hashKey(key), share } }
}

const modelOf = (path: string, body: unknown): object => {
  const model = modelSection.parse(body)
  return {
    name: path.split('/').at(-1),
    versions: model.versions,
    currentVersion: model.versions[0],
    minReplicas: 0,
    maxReplicas: model.max_replicas,
    memoryMb: model.memory_mb,
    checkpointMb: model.checkpoint_mb,
    adapters: model.adapters.map(({ name, value }) => ({ name, memoryMb: value }))
  }
}

const serviceOf = (sections: Sections) => ([name, body]: readonly [string, unknown]): ConfigChange => {
  const { kind, priorities, idle_cost_weight: idleCostWeight } = serviceSection.parse(body)
  const models = sectionsOf(sections, 'model').filter(([path]) => path.startsWith(`${name}/`)).map(([path, model]) => modelOf(path, model))
  return { name: `service/${name}`, body: { kind, models, idleCostWeight, priorities: Object.fromEntries(priorities.map(({ name: callerKind, value }) => [callerKind, value])) } }
}

/** Reads callers and services from the demo's INI file and converts them to configuration changes. */
export const readServices = (file: string): readonly ConfigChange[] => {
  const sections = parseSettings(servicesFile, file, readFileSync(file, 'utf8')).unsafeCoerce()
  return [
    ...sectionsOf(sections, 'caller').map(callerOf),
    ...sectionsOf(sections, 'service').map(serviceOf(sections))
  ]
}
