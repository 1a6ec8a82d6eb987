/**
 * Field names of the most frequent message objects, each list in the order in which the object is created. Both ends of a
 * link have this list, so such objects are sent without their field names.
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
  ['type', 'fromOffset', 'toOffset', 'records', 'ageMs', 'answeredForMs', 'isAfterBreak'],
  ['key', 'value', 'offset'],
  ['type', 'wantId', 'isReady', 'isLost', 'reason'],
  ['type', 'wantId', 'serverId', 'modelName', 'waitingCount', 'lateCount', 'unmetForMs', 'timeLeftMs'],
  ['type', 'wantId', 'serverId', 'modelName', 'waitingCount', 'lateCount', 'timeLeftMs', 'adapterName'],
  ['type', 'askId', 'organisation', 'units', 'maxWaitMs'],
  ['type', 'askId', 'outcome', 'waitMs'],
  ['type', 'organisation', 'units'],
  ['type', 'crashes', 'answered', 'partDeaths', 'partProofs'],
  ['type', 'start', 'limitPerS'],
  ['streamId', 'serviceName', 'softwareVersion'],
  ['type', 'askId', 'streamId', 'serviceName'],
  ['type', 'askId', 'softwareVersion', 'rememberedForMs'],
  ['identity', 'start', 'ageMs'],
  ['identity', 'ageMs'],
  ['contentHash', 'callerId'],
  ['partId', 'sentAgeMs', 'provenAgeMs', 'sentAfter'],
  ['serverId', 'startedAtUnixMs']
]
