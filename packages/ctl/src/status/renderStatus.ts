import { renderTable } from '../output/renderTable.js'

import type { StatusResponse } from '@figmount/schema'

/** Status of the log, the instances and the replicas as tables for people. */
export const renderStatus = (status: StatusResponse): string => {
  const log = `log: ${status.logReachable ? 'reachable' : 'OUT OF REACH'}, next offset ${status.logHeadOffset}`
  const instances = renderTable(
    ['instance', 'role', 'data centre', 'state', 'offset', 'heard ms ago', 'running', 'queued', 'memory MB', 'of MB'],
    status.instances.map(one => [
      one.instance, one.role, one.dataCentre, one.state, Number(one.appliedOffset), one.ageMs,
      one.runningCount, one.queuedCount, one.memoryUsedMb, one.memoryCapacityMb
    ]))
  const replicas = renderTable(
    ['model', 'slot', 'instance', 'right', 'load', 'version', 'fence'],
    status.replicas.map(one => [
      one.model, one.slotIndex, one.instance, one.slotState, one.loadState, one.version, Number(one.fence)
    ]))
  return [log, instances, replicas].join('\n\n')
}

/** Metrics as a table for people. */
export const renderMetrics = (status: StatusResponse): string =>
  renderTable(['metric', 'value'], status.metrics.map(line => [line.name, line.value]))
