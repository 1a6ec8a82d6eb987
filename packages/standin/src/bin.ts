import { runBinary } from '@figmount/base'

import { standinSettings } from './settings/standinSettings.js'
import { startStandin } from './startStandin.js'

await runBinary({
  name: 'figmount-standin',
  summary: 'Stands in for the platform (log, instance list, weight store), a backend server or a faulty network in tests and the demo.',
  role: 'standin',
  schema: standinSettings,
  instanceOf: settings => settings.process.instance,
  start: startStandin
})
