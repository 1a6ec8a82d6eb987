/** Child process of `measureLinks`. */
import { serveForParent } from './measureLinks.js'

import type { FakeAgentPlan } from '../../../router/src/bench/serveFakeAgents.js'

await serveForParent(JSON.parse(process.argv[2] ?? '') as FakeAgentPlan)
