/** Records for tests of this package. */
import type { DataCentre, Incarnation, InstanceName, LogOffset, ModelId, ServiceName } from '@figmount/base'
import type { ItemName } from '../config/types.js'
import type { LogRecord, PlacedRecord } from '../fold/types.js'

const router = 'r1' as InstanceName

/** Body of a service `reader` with the model `m` of two replicas. */
export const twoReplicaService = {
  kind: 'models',
  models: [{ name: 'm', versions: ['v1'], currentVersion: 'v1', minReplicas: 0, maxReplicas: 2, memoryMb: 10, checkpointMb: 10 }]
} as const

export const setConfig = (item: string, expectedVersion: number, body: unknown, recordId = `set-${item}-${expectedVersion}`): LogRecord =>
  ({ kind: 'config.set', recordId, writer: router, item: item as ItemName, expectedVersion, bodyJson: JSON.stringify(body), operatorName: 'op' })

export const agentUp = (instance: string, incarnation: string): LogRecord => ({
  kind: 'agent.up',
  recordId: `up-${instance}-${incarnation}`,
  writer: instance as InstanceName,
  instance: instance as InstanceName,
  incarnation: incarnation as Incarnation,
  dataCentre: 'dc-1' as DataCentre,
  services: ['reader' as ServiceName],
  backendKind: 'engine',
  memoryCapacityMb: 100,
  enforcesFence: true
})

export const grantReplica = (model: ModelId, slotIndex: number, instance: string, incarnation: string, expectedFence: number): LogRecord => ({
  kind: 'right.grant',
  recordId: `grant-${model}-${slotIndex}-${instance}-${expectedFence}`,
  writer: router,
  right: { kind: 'replica', target: model, slotIndex },
  instance: instance as InstanceName,
  incarnation: incarnation as Incarnation,
  expectedFence
})

/** Assigns consecutive offsets, with append times a millisecond apart. */
export const placeAll = (records: readonly LogRecord[], fromOffset = 0): readonly PlacedRecord[] =>
  records.map((record, index) => ({ offset: (fromOffset + index) as LogOffset, appendedAtMs: fromOffset + index, record }))
