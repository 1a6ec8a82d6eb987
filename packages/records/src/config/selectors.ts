import { makeModelId } from '@figmount/base'

import { parseCallerBody, parseServiceBody } from './parseBody.js'

import type { CallerName, ModelId, ServiceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { CallerInForce, ConfigVersion, ModelSpec, ServiceSpec } from './types.js'

// Bodies are kept as text in the state and read once for each version: a version object never
// changes and is shared by all later states, so a weak map holds exactly the bodies in use.
const serviceByVersion = new WeakMap<ConfigVersion, ServiceSpec>()
const modelsByService = new WeakMap<ServiceSpec, ReadonlyMap<ModelId, ModelSpec>>()
const callerByVersion = new WeakMap<ConfigVersion, CallerInForce>()
const callersByItems = new WeakMap<AgreedState['items'], ReadonlyMap<string, CallerInForce>>()

/** The specification in a version of a `service/` item; undefined when retired. */
export const serviceOfVersion = (version: ConfigVersion): ServiceSpec | undefined => {
  if (version.retired) return undefined
  const known = serviceByVersion.get(version)
  if (known) return known
  const read = parseServiceBody(version.bodyJson).toMaybe().extract()
  if (read) serviceByVersion.set(version, read)
  return read
}

/** The service in force under a name; undefined if there is none or it is retired. */
export const findService = (state: AgreedState, service: ServiceName): ServiceSpec | undefined => {
  const version = state.items.get(`service/${service}`)
  return version && serviceOfVersion(version)
}

const indexModels = (service: ServiceName, spec: ServiceSpec): ReadonlyMap<ModelId, ModelSpec> =>
  new Map(spec.models.map(model => [makeModelId(service, model.name), model]))

/** All models of a service in force, by id. */
export const modelsOfService = (state: AgreedState, service: ServiceName): ReadonlyMap<ModelId, ModelSpec> => {
  const spec = findService(state, service)
  if (!spec) return new Map()
  const known = modelsByService.get(spec)
  if (known) return known
  const made = indexModels(service, spec)
  modelsByService.set(spec, made)
  return made
}

/** The model in force under an id; undefined if there is none or it is retired. */
export const findModel = (state: AgreedState, model: ModelId): ModelSpec | undefined => {
  const slash = model.indexOf('/')
  if (slash < 0) return undefined
  return modelsOfService(state, model.slice(0, slash) as ServiceName).get(model)
}

/** Names of all services in force. */
export const listServices = (state: AgreedState): readonly ServiceName[] => {
  const names: ServiceName[] = []
  for (const [item, version] of state.items) {
    if (version.retired || !item.startsWith('service/')) continue
    names.push(item.slice('service/'.length) as ServiceName)
  }
  return names
}

/** The caller in a version of a `caller/` item; undefined when retired. */
export const callerOfVersion = (version: ConfigVersion): CallerInForce | undefined => {
  if (version.retired) return undefined
  const known = callerByVersion.get(version)
  if (known) return known
  const read = parseCallerBody(version.bodyJson)
    .map(spec => ({ ...spec, name: version.item.slice('caller/'.length) as CallerName }))
    .toMaybe()
    .extract()
  if (read) callerByVersion.set(version, read)
  return read
}

const callersOf = (items: AgreedState['items']): ReadonlyMap<string, CallerInForce> => {
  const known = callersByItems.get(items)
  if (known) return known
  const made = new Map<string, CallerInForce>()
  for (const [item, version] of items) {
    if (!item.startsWith('caller/')) continue
    const caller = callerOfVersion(version)
    if (caller) made.set(caller.keySha256, caller)
  }
  callersByItems.set(items, made)
  return made
}

/** The caller whose key has this SHA-256 hash, in lower-case hexadecimal. */
export const findCallerByKey = (state: AgreedState, keySha256: string): CallerInForce | undefined =>
  callersOf(state.items).get(keySha256)
