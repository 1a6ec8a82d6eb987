/** Child process of `measureLinks`: serves the fake agents. */
import { serveAgentsForParent } from './measureLinks.js'

import type { FakeAgentPlan } from '../../../router/src/bench/serveFakeAgents.js'

await serveAgentsForParent(JSON.parse(process.argv[2] ?? '') as FakeAgentPlan)
