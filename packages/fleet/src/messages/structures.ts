/**
 * Kinds of objects in the messages that are sent most, by their fields in the order in which they are made. Both ends of a link know
 * them, so messages go without the names.
 */
export const MESSAGE_STRUCTURES: ReadonlyArray<readonly string[]> = [
  ['type'],
  ['type', 'models', 'replicas'],
  ['type', 'models', 'replicas', 'runningModels'],
  ['modelName', 'requestsPerS', 'promptTokensPerS', 'idleMs', 'adapterNames'],
  ['modelName', 'replicaCount'],
  ['type', 'changes'],
  ['loadingLeftMs', 'loadingForMs', 'coldWaitMs', 'roomMs', 'evictionLoss', 'demandTokensPerS'],
  ['models', 'loadingLeftMs', 'loadingForMs', 'coldWaitMs', 'roomMs', 'evictionLoss', 'demandTokensPerS'],
  ['queuedModels', 'loadingLeftMs', 'loadingForMs', 'coldWaitMs', 'roomMs', 'evictionLoss', 'demandTokensPerS'],
  ['roomMs', 'loadingLeftMs', 'loadingForMs', 'coldWaitMs', 'evictionLoss', 'demandTokensPerS'],
  ['name', 'adapters'],
  ['type', 'runningCount', 'startingCount'],
  ['type', 'fromOffset', 'toOffset', 'records', 'ageMs', 'settlingMs'],
  ['key', 'value', 'offset'],
  ['type', 'wantId', 'isReady', 'isLost', 'reason'],
  ['type', 'wantId', 'serverId', 'modelName', 'waitingCount', 'lateCount', 'unmetForMs', 'timeLeftMs'],
  ['type', 'wantId', 'serverId', 'modelName', 'waitingCount', 'lateCount', 'timeLeftMs', 'adapterName'],
  ['type', 'askId', 'organisation', 'units', 'maxWaitMs'],
  ['type', 'askId', 'outcome', 'waitMs'],
  ['type', 'organisation', 'units']
]
