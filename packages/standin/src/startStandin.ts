import { match } from 'ts-pattern'

import { startEngine } from './engine/startEngine.js'
import { startInstances } from './instances/startInstances.js'
import { startLog } from './log/startLog.js'
import { startPlain } from './plain/startPlain.js'
import { startProxy } from './proxy/startProxy.js'
import { startWeights } from './weights/startWeights.js'

import type { ProcessContext } from '@figmount/base'
import type { StartedStandin } from './control/types.js'
import type { StandinSettings } from './settings/standinSettings.js'

/** Starts the stand-in of the kind that the settings name. */
export const startStandin = async ({ settings, ...context }: ProcessContext<StandinSettings>): Promise<StartedStandin> => {
  const common = { ...context, ...settings.process }
  return await match(settings.standin)
    .with({ kind: 'log' }, async standin => await startLog({ ...common, settings: standin }))
    .with({ kind: 'instances' }, async standin => await startInstances({ ...common, settings: standin }))
    .with({ kind: 'weights' }, async standin => await startWeights({ ...common, settings: standin }))
    .with({ kind: 'engine' }, async standin => await startEngine({ ...common, settings: standin }))
    .with({ kind: 'plain' }, async standin => await startPlain({ ...common, settings: standin }))
    .with({ kind: 'proxy' }, async standin => await startProxy({ ...common, settings: standin }))
    .exhaustive()
}
