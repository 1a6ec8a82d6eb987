import { encodeRecord, emptyState, encodeState, foldRecords, proposeRights } from '@figmount/records'

import type { DataCentre, Incarnation, InstanceName, LogOffset, ServiceName } from '@figmount/base'
import type { AgreedState, ListedInstance, LogRecord, NewRecord, PlacedRecord } from '@figmount/records'
import type { Measurement, Point } from '../slopes/types.js'

const MODEL_COUNTS = [100, 300, 600, 1_200] as const
const ADAPTERS_PER_MODEL = 24
const MODELS_PER_SERVICE = 100
const REPLICAS_PER_MODEL = 6
const AGENTS_PER_MODEL = 6
const DATA_CENTRE_COUNT = 8
const REPEAT_COUNT = 50
const US_PER_MS = 1000
const START_MS = 1_800_000_000_000

interface RecordCosts {
  readonly rightCount: number
  readonly agentUpUs: number
  readonly configSetUs: number
  readonly idleRoundUs: number
  readonly snapshotBytes: number
  readonly rebuildMs: number
  readonly changeBytes: number
}

const writer = 'router-0' as InstanceName
let recordCount = 0

const completeRecord = (record: NewRecord): LogRecord =>
  ({ recordId: `r${recordCount++}`, writer, writerIncarnation: '1' as Incarnation, ...record }) as LogRecord

const assignOffsets = (records: readonly LogRecord[], from: AgreedState): readonly PlacedRecord[] =>
  records.map((record, index) => ({ offset: (from.nextOffset + index) as LogOffset, appendedAtMs: START_MS + from.nextOffset + index, record }))

const timeUs = (run: () => void): number => {
  run()
  const startedMs = performance.now()
  for (let index = 0; index < REPEAT_COUNT; index += 1) run()
  return (performance.now() - startedMs) * US_PER_MS / REPEAT_COUNT
}

const configSet = (service: number, expectedVersion: number): LogRecord => completeRecord({
  kind: 'config.set',
  item: `service/s${service}`,
  expectedVersion,
  operatorName: 'operator',
  bodyJson: JSON.stringify({
    kind: 'models',
    models: Array.from({ length: MODELS_PER_SERVICE }, (_, index) => ({
      name: `m${index}`,
      versions: ['v1', 'v2'],
      currentVersion: expectedVersion % 2 === 0 ? 'v1' : 'v2',
      minReplicas: 0,
      maxReplicas: REPLICAS_PER_MODEL,
      memoryMb: 4000,
      checkpointMb: 8000,
      adapters: Array.from({ length: ADAPTERS_PER_MODEL }, (_, adapter) => ({ name: `a${adapter}`, memoryMb: 60 }))
    }))
  })
})

const agentUp = (index: number, serviceCount: number, incarnation: number): LogRecord => completeRecord({
  kind: 'agent.up',
  instance: `agent-${index}` as InstanceName,
  incarnation: `i${incarnation}` as Incarnation,
  dataCentre: `dc-${index % DATA_CENTRE_COUNT}` as DataCentre,
  services: [`s${index % serviceCount}` as ServiceName],
  backendKind: 'engine',
  memoryCapacityMb: 80_000,
  enforcesFence: true
})

const buildState = (modelCount: number): { readonly state: AgreedState, readonly records: readonly LogRecord[], readonly instances: readonly ListedInstance[] } => {
  const serviceCount = modelCount / MODELS_PER_SERVICE
  const agentCount = modelCount * AGENTS_PER_MODEL
  const instances = Array.from({ length: agentCount }, (_, index) => ({ name: `agent-${index}` as InstanceName, leaving: false }))
  const records: LogRecord[] = []
  let state = emptyState
  const apply = (batch: readonly LogRecord[]): void => {
    records.push(...batch)
    state = foldRecords(state, assignOffsets(batch, state)).state
  }
  apply(Array.from({ length: serviceCount }, (_, index) => configSet(index, 0)))
  apply(instances.map((_, index) => agentUp(index, serviceCount, 0)))
  while (true) {
    const proposed = proposeRights(state, instances, { mayPropose: () => true, maxCount: 2_000 }, state.asOfMs)
    if (proposed.length === 0) return { state, records, instances }
    apply(proposed.map(completeRecord))
  }
}

const measureAt = (modelCount: number): RecordCosts => {
  const { state, records, instances } = buildState(modelCount)
  const serviceCount = modelCount / MODELS_PER_SERVICE
  const timeFold = (record: LogRecord): number => timeUs(() => { foldRecords(state, assignOffsets([record], state)) })
  const startedMs = performance.now()
  foldRecords(emptyState, assignOffsets(records, emptyState))
  return {
    rightCount: state.rights.size,
    rebuildMs: performance.now() - startedMs,
    agentUpUs: timeFold(agentUp(0, serviceCount, 1)),
    configSetUs: timeFold(configSet(0, 1)),
    idleRoundUs: timeUs(() => { proposeRights(state, instances, { mayPropose: () => true }, state.asOfMs) }),
    snapshotBytes: encodeState(state).byteLength,
    changeBytes: encodeRecord(configSet(0, 1)).byteLength
  }
}

const METHOD = `one process, services of ${MODELS_PER_SERVICE} models with ${ADAPTERS_PER_MODEL} adapters and ${REPLICAS_PER_MODEL} slots each, ${AGENTS_PER_MODEL} agents a model`

/** Measures the cost of folding, proposing and encoding the state of the log by number of rights, without processes or network. */
export const measureRecords = async (): Promise<readonly Measurement[]> => {
  const figures = await Promise.resolve(MODEL_COUNTS.map(measureAt))
  const points = (read: (costs: RecordCosts) => number): readonly Point[] => figures.map(costs => ({ size: costs.rightCount, value: read(costs) }))
  return [
    { name: 'fold.agentUp', unit: 'us', per: 'rights', method: `fold of one restart; ${METHOD}`, points: points(costs => costs.agentUpUs) },
    { name: 'fold.configSet', unit: 'us', per: 'rights', method: `fold of one changed service; ${METHOD}`, points: points(costs => costs.configSetUs) },
    { name: 'proposals.idle', unit: 'us', per: 'rights', method: `a round that has nothing to propose; ${METHOD}`, points: points(costs => costs.idleRoundUs) },
    { name: 'snapshot.bytes', unit: 'bytes', per: 'rights', method: `encoded snapshot; ${METHOD}`, points: points(costs => costs.snapshotBytes) },
    { name: 'records.rebuild', unit: 'ms', per: 'rights', method: `fold of all records from nothing; ${METHOD}`, points: points(costs => costs.rebuildMs) },
    { name: 'config.changeBytes', unit: 'bytes', per: 'rights', method: `record of one changed service; ${METHOD}`, points: points(costs => costs.changeBytes) }
  ]
}
