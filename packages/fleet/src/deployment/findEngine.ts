import type { Deployment, EngineSpec, ModelSpec } from './types.js'

/** The engine spec of a service; undefined for an unknown service and for one without engines. */
export const findEngine = (deployment: Deployment | undefined, serviceName: string): EngineSpec | undefined =>
  deployment?.services.find(service => service.name === serviceName)?.engine

/** Finds a model by name in all services. */
export const findModel = (deployment: Deployment | undefined, modelName: string): ModelSpec | undefined => {
  for (const { engine } of deployment?.services ?? []) {
    const model = engine?.models.find(candidate => candidate.name === modelName)
    if (model) return model
  }
  return undefined
}
