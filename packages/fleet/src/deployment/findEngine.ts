import type { Deployment, EngineSpec, ModelSpec } from './types.js'

/** The engines of a service; undefined for a plain service or an unknown one. */
export const findEngine = (deployment: Deployment | undefined, serviceName: string): EngineSpec | undefined =>
  deployment?.services.find(service => service.name === serviceName)?.engine

/** A model by its name, whichever service it is of. */
export const findModel = (deployment: Deployment | undefined, modelName: string): ModelSpec | undefined => {
  for (const { engine } of deployment?.services ?? []) {
    const model = engine?.models.find(candidate => candidate.name === modelName)
    if (model) return model
  }
  return undefined
}
