/** Entry point of `figmount-agent`. */
import { connectionLimitsOf, runBinary } from '@figmount/base'

import { startAgent } from './agent/startAgent.js'
import { agentSettings } from './settings/agentSettings.js'

await runBinary({
  name: 'figmount-agent',
  summary: 'Runs beside a backend server: loads models, queues and runs requests, grants permits and drains.',
  role: 'agent',
  schema: agentSettings,
  instanceOf: settings => settings.process.instance,
  connectionLimitsOf: settings => connectionLimitsOf(settings.connections),
  start: startAgent
})
