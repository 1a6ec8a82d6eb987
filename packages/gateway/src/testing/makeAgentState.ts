import type { AgentState } from '@figmount/fleet'

/** An agent's state for an idle engine without models, for tests. */
export const makeAgentState = (serverId: string, given: Partial<AgentState> = {}): AgentState => ({
  type: 'state',
  serverId,
  startedAtUnixMs: undefined,
  goneStarts: [],
  isUp: true,
  isDraining: false,
  models: [],
  leavingModels: [],
  loadingModel: '',
  isLoadingCold: false,
  loadingLeftMs: 0,
  loadingForMs: 0,
  coldWaitMs: 0,
  roomMs: 0,
  nextColdModel: '',
  queuedModels: [],
  inMemory: [],
  onDisk: [],
  evictionLoss: 0,
  demandTokensPerS: [],
  routerCount: 1,
  deploymentVersion: -1,
  followsDeployments: true,
  ...given
})
