import type { AgentState } from '@figmount/fleet'
import type { Directory } from '../directory/types.js'

const acceptsRequests = ({ isUp, isDraining }: AgentState): boolean => isUp && !isDraining

/** The engine holds the model for new requests, by its agent's report. */
export const isHolding = (state: AgentState, modelName: string): boolean =>
  acceptsRequests(state) && state.models.some(model => model.name === modelName) && !state.leavingModels.includes(modelName)

/** The engine has begun to load the model, by its agent's report. */
export const hasBegunLoading = (state: AgentState, modelName: string): boolean =>
  acceptsRequests(state) && state.loadingModel === modelName && state.loadingForMs > 0

/** The engine at the address serves requests of the service. */
export const isServing = (directory: Directory, serviceName: string, address: string): boolean =>
  directory.serving(serviceName).some(server => server.entry.address === address)
