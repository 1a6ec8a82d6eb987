import { runBinary } from '@figmount/base'

import { standinSettings } from './settings/standinSettings.js'
import { startStandin } from './startStandin.js'

await runBinary({
  name: 'figmount-standin',
  summary: 'Runs a stand-in for tests and the demo: platform log, instance list, weight store, backend server or faulty network.',
  role: 'standin',
  schema: standinSettings,
  instanceOf: settings => settings.process.instance,
  start: startStandin
})
