import type { AgentState } from '@figmount/fleet'

/** Creates the state of an agent whose engine holds one model and runs no requests. */
export const makeStateForTest = (): AgentState => ({
  type: 'state',
  serverId: 'a',
  startedAtUnixMs: undefined,
  goneStarts: [],
  isUp: true,
  isDraining: false,
  models: [{ name: 'm', adapters: [] }],
  leavingModels: [],
  loadingModel: '',
  isLoadingCold: false,
  loadingLeftMs: 0,
  loadingForMs: 0,
  coldWaitMs: 0,
  roomMs: 80,
  nextColdModel: '',
  queuedModels: [],
  inMemory: ['m'],
  onDisk: ['m'],
  evictionLoss: 1,
  demandTokensPerS: [5],
  routerCount: 2,
  deploymentVersion: 1,
  followsDeployments: true
})
