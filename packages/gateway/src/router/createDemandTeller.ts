import { viewReplicas } from '../placing/viewServers.js'

import type { AgentLinks } from '../agents/createAgentLinks.js'
import type { DemandMeter } from '../demand/createDemandMeter.js'
import type { Directory } from '../directory/createDirectory.js'

/** Makes what tells all agents a router's demand; while there is none it speaks only when the replicas have changed. */
export const createDemandTeller = (demand: DemandMeter, directory: Directory, agents: AgentLinks): () => void => {
  let lastIdleText = ''
  return () => {
    const replicas = viewReplicas(directory)
    const replicaCounts = new Map(replicas.map(({ modelName, replicaCount }) => [modelName, replicaCount]))
    const models = demand.read(modelName => replicaCounts.get(modelName) ?? 1)
    const idleText = models.length === 0 ? JSON.stringify(replicas) : ''
    if (models.length === 0 && idleText === lastIdleText) return
    lastIdleText = idleText
    agents.sendToEach(serverAddress => ({ type: 'demand', models, replicas, runningModels: directory.runningModels(serverAddress) }))
  }
}
