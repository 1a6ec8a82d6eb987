import { connectionLimitsOf, makeIncarnation, runBinary } from '@figmount/base'
import { chooseLeastCost, spreadByDrainTime } from '@figmount/decisions'
import { createRecordsClient } from '@figmount/records'

import { readPlatformList } from './membership/pollInstances.js'
import { proposeRightsThenMoves } from './proposals/proposeRightsThenMoves.js'
import { startRouter } from './router/startRouter.js'
import { routerSettings } from './settings/routerSettings.js'
import { openAbsentEngine } from './voids/openAbsentEngine.js'

import type { InstanceName, ProcessContext, RunningProcess } from '@figmount/base'
import type { RouterSettings } from './settings/types.js'

const start = async (context: ProcessContext<RouterSettings>): Promise<RunningProcess> => {
  const { settings, timers, events, metrics } = context
  const instance = settings.process.instance as InstanceName
  const incarnation = makeIncarnation(timers.unixMs())
  return await startRouter({
    ...context,
    instance,
    incarnation,
    records: createRecordsClient({ address: settings.platform.log, instance, incarnation, timers, events, metrics }),
    readInstances: readPlatformList(settings.platform.instance_list),
    chooseBackend: chooseLeastCost,
    chooseRetryAfter: spreadByDrainTime,
    proposeRights: proposeRightsThenMoves,
    openAbsentEngine,
    random: Math.random
  })
}

await runBinary({
  name: 'figmount-router',
  summary: 'Accepts requests from callers and operators and routes each to a backend server.',
  role: 'router',
  schema: routerSettings,
  instanceOf: settings => settings.process.instance,
  connectionLimitsOf: settings => connectionLimitsOf(settings.connections),
  start
})
