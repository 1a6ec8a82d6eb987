import { makeModelId } from '@figmount/base'

import { parseCallerBody, parseServiceBody } from './parseBody.js'

import type { CallerName, ModelId, ServiceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { CallerInForce, ConfigVersion, ModelSpec, ServiceSpec } from './types.js'

// The state holds bodies as text, and each version is parsed once: version objects are immutable and shared
// by all later states, so a weak map keeps parsed bodies exactly as long as they are in use.
const serviceByVersion = new WeakMap<ConfigVersion, ServiceSpec>()
const modelsByService = new WeakMap<ServiceSpec, ReadonlyMap<ModelId, ModelSpec>>()
const callerByVersion = new WeakMap<ConfigVersion, CallerInForce>()
const callersByItems = new WeakMap<AgreedState['items'], ReadonlyMap<string, CallerInForce>>()

/** The specification in a version of a `service/` item; undefined if it is retired. */
export const serviceOfVersion = (version: ConfigVersion): ServiceSpec | undefined => {
  if (version.retired) return undefined
  const cached = serviceByVersion.get(version)
  if (cached) return cached
  const spec = parseServiceBody(version.bodyJson).toMaybe().extract()
  if (spec) serviceByVersion.set(version, spec)
  return spec
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
  const cached = modelsByService.get(spec)
  if (cached) return cached
  const models = indexModels(service, spec)
  modelsByService.set(spec, models)
  return models
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

/** The caller in a version of a `caller/` item; undefined if it is retired. */
export const callerOfVersion = (version: ConfigVersion): CallerInForce | undefined => {
  if (version.retired) return undefined
  const cached = callerByVersion.get(version)
  if (cached) return cached
  const caller = parseCallerBody(version.bodyJson)
    .map(spec => ({ ...spec, name: version.item.slice('caller/'.length) as CallerName }))
    .toMaybe()
    .extract()
  if (caller) callerByVersion.set(version, caller)
  return caller
}

const indexCallersByKey = (items: AgreedState['items']): ReadonlyMap<string, CallerInForce> => {
  const cached = callersByItems.get(items)
  if (cached) return cached
  const callers = new Map<string, CallerInForce>()
  for (const [item, version] of items) {
    if (!item.startsWith('caller/')) continue
    const caller = callerOfVersion(version)
    if (caller) callers.set(caller.keySha256, caller)
  }
  callersByItems.set(items, callers)
  return callers
}

/** The caller whose key has this SHA-256 hash, in lower-case hexadecimal. */
export const findCallerByKey = (state: AgreedState, keySha256: string): CallerInForce | undefined =>
  indexCallersByKey(state.items).get(keySha256)
