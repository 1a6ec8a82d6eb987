import { renderTable } from '../output/renderTable.js'

import type { StatusResponse } from '@figmount/schema'

/** Renders the status of the log, the instances and the replicas as tables. */
export const renderStatus = (status: StatusResponse): string => {
  const log = `log: ${status.logReachable ? 'reachable' : 'UNREACHABLE'}, next offset ${status.logHeadOffset}`
  const instances = renderTable(
    ['instance', 'role', 'data centre', 'state', 'offset', 'last seen ms ago', 'running', 'queued', 'memory MB', 'of MB'],
    status.instances.map(instance => [
      instance.instance, instance.role, instance.dataCentre, instance.state, Number(instance.appliedOffset), instance.ageMs,
      instance.runningCount, instance.queuedCount, instance.memoryUsedMb, instance.memoryCapacityMb
    ]))
  const replicas = renderTable(
    ['model', 'slot', 'instance', 'right', 'load', 'version', 'fence'],
    status.replicas.map(replica => [
      replica.model, replica.slotIndex, replica.instance, replica.slotState, replica.loadState, replica.version, Number(replica.fence)
    ]))
  return [log, instances, replicas].join('\n\n')
}

/** Renders metrics as a table. */
export const renderMetrics = (status: StatusResponse): string =>
  renderTable(['metric', 'value'], status.metrics.map(line => [line.name, line.value]))
