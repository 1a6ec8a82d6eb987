/**
 * Benchmarks folding, snapshots, proposals and record counts at several sizes and prints one JSON object per line.
 * Run with `npm run bench:records`: memory figures need `--expose-gc`.
 */
import {
  applyRecord, decodeRecord, decodeState, emptyState, encodeRecord, encodeState, foldRecords, proposeRights, shouldPropose, splitSnapshot
} from '@figmount/records'

import type { DataCentre, Incarnation, InstanceName, LogOffset, ServiceName } from '@figmount/base'
import type { AgreedState, ItemName, ListedInstance, LogRecord, NewRecord, PlacedRecord } from '@figmount/records'

interface Size {
  readonly name: string
  readonly serviceCount: number
  readonly modelsPerService: number
  readonly adaptersPerModel: number
  readonly agentCount: number
  readonly replicasPerModel: number
}

/** The last size is the long-term target: 1,200 models, about 29,000 adapters, 7,200 agents. */
const SIZES: readonly Size[] = [
  { name: '10 models', serviceCount: 1, modelsPerService: 10, adaptersPerModel: 2, agentCount: 8, replicasPerModel: 2 },
  { name: '100 models', serviceCount: 2, modelsPerService: 50, adaptersPerModel: 2, agentCount: 40, replicasPerModel: 2 },
  { name: '1000 models', serviceCount: 10, modelsPerService: 100, adaptersPerModel: 2, agentCount: 400, replicasPerModel: 2 },
  { name: '1200 models, 28800 adapters, 7200 agents', serviceCount: 12, modelsPerService: 100, adaptersPerModel: 24, agentCount: 7200, replicasPerModel: 6 }
]

const ROUTERS = Array.from({ length: 350 }, (_, index) => `router-${index}` as InstanceName)
const writer = ROUTERS[0] as InstanceName
const REPEATS = 200
const DATA_CENTRES = 8

const serviceName = (index: number): ServiceName => `service-${index}` as ServiceName
const agentName = (index: number): InstanceName => `agent-${index}` as InstanceName
const toIncarnation = (index: number): Incarnation => `0mhx3k2p1-${String(index).padStart(8, '0')}` as Incarnation

let recordCount = 0
const toLogRecord = (record: NewRecord): LogRecord =>
  ({ recordId: `0mhx3k2p1-00000000.${recordCount++}`, writer, writerIncarnation: toIncarnation(0), ...record }) as LogRecord

const toPlacedRecords = (records: readonly LogRecord[], from: AgreedState): readonly PlacedRecord[] =>
  records.map((record, index) => ({ offset: (from.nextOffset + index) as LogOffset, appendedAtMs: 1_800_000_000_000 + from.nextOffset + index, record }))

const makeServiceBody = (size: Size, change: number): string => JSON.stringify({
  kind: 'models',
  models: Array.from({ length: size.modelsPerService }, (_, index) => ({
    name: `condition-reader-${index}`,
    versions: ['v1', 'v2'],
    currentVersion: change % 2 === 0 ? 'v1' : 'v2',
    minReplicas: 0,
    maxReplicas: size.replicasPerModel,
    memoryMb: 4000,
    checkpointMb: 8000,
    adapters: Array.from({ length: size.adaptersPerModel }, (_, adapter) => ({ name: `site-${index}-${adapter}`, memoryMb: 60 }))
  })),
  priorities: { crew: 5, desk: 1 }
})

const configSet = (size: Size, service: number, expectedVersion: number): LogRecord => toLogRecord({
  kind: 'config.set', item: `service/${serviceName(service)}` as ItemName, expectedVersion, bodyJson: makeServiceBody(size, expectedVersion), operatorName: 'operator'
})

const agentUp = (size: Size, index: number, incarnation: number): LogRecord => toLogRecord({
  kind: 'agent.up',
  instance: agentName(index),
  incarnation: toIncarnation(incarnation),
  dataCentre: `dc-${index % DATA_CENTRES}` as DataCentre,
  services: [serviceName(index % size.serviceCount)],
  backendKind: 'engine',
  memoryCapacityMb: 80_000,
  enforcesFence: index % 2 === 0
})

const report = (fields: Readonly<Record<string, string | number>>): void => {
  process.stdout.write(`${JSON.stringify(fields)}\n`)
}

const roundTo = (value: number, digits = 1): number => Number(value.toFixed(digits))

/** Returns the mean time of one call in microseconds, after a warm-up of a tenth of the repeats. */
const timeUs = (repeats: number, run: (index: number) => void): number => {
  for (let index = 0; index < repeats / 10; index += 1) run(index)
  const startMs = performance.now()
  for (let index = 0; index < repeats; index += 1) run(index)
  return roundTo((performance.now() - startMs) * 1000 / repeats)
}

const collectGarbage = (globalThis as { readonly gc?: () => void }).gc
const measureHeapMb = (): number => {
  collectGarbage?.()
  return process.memoryUsage().heapUsed / 1e6
}

/** Builds a settled state from the records that routers and agents would append, and counts the rounds of proposals. */
const buildState = (size: Size): { readonly state: AgreedState, readonly records: readonly LogRecord[], readonly rounds: number } => {
  let state = emptyState
  const records: LogRecord[] = []
  const apply = (batch: readonly LogRecord[]): void => {
    records.push(...batch)
    state = foldRecords(state, toPlacedRecords(batch, state)).state
  }
  for (let service = 0; service < size.serviceCount; service += 1) apply([configSet(size, service, 0)])
  apply(Array.from({ length: size.agentCount }, (_, index) => agentUp(size, index, 0)))
  const instances = listInstances(size)
  let rounds = 0
  for (;;) {
    const proposed = proposeRights(state, instances, { mayPropose: () => true, maxCount: 2_000 }, state.asOfMs)
    if (proposed.length === 0) return { state, records, rounds }
    rounds += 1
    apply(proposed.map(toLogRecord))
  }
}

const listInstances = (size: Size): readonly ListedInstance[] =>
  Array.from({ length: size.agentCount }, (_, index) => ({ name: agentName(index), leaving: false }))

const measureFold = (size: Size, state: AgreedState): void => {
  const restart = agentUp(size, 1, 1)
  const change = configSet(size, 0, 1)
  const [right] = [...state.rights.values()].filter(candidate => candidate.key.kind === 'replica')
  const revoke = right && toLogRecord({ kind: 'right.revoke', right: right.key, fence: right.fence })
  const timeSingle = (record: LogRecord): number => timeUs(REPEATS, () => { applyRecord(state, toPlacedRecords([record], state)[0] as PlacedRecord) })
  const batch = toPlacedRecords(Array.from({ length: 200 }, (_, index) => agentUp(size, index % size.agentCount, 2 + index)), state)
  report({
    what: 'fold',
    size: size.name,
    agentUpAloneUs: timeSingle(restart),
    revokeAloneUs: revoke ? timeSingle(revoke) : 0,
    configSetAloneUs: timeSingle(change),
    agentUpInBatchOf200Us: roundTo(timeUs(REPEATS / 10, () => { foldRecords(state, batch) }) / batch.length)
  })
}

const measureSnapshot = (size: Size, state: AgreedState, records: readonly LogRecord[]): void => {
  const bytes = encodeState(state)
  const chunks = splitSnapshot(state, 'bench')
  const payloads = records.map(encodeRecord)
  const fullMs = timeUs(1, () => {
    const decoded = payloads.map(payload => decodeRecord(payload).unsafeCoerce())
    foldRecords(emptyState, toPlacedRecords(decoded, emptyState))
  }) / 1000
  report({
    what: 'snapshot',
    size: size.name,
    recordCount: records.length,
    logBytes: payloads.reduce((sum, payload) => sum + payload.byteLength, 0),
    snapshotBytes: bytes.byteLength,
    chunkCount: chunks.length,
    encodeMs: roundTo(timeUs(5, () => { encodeState(state) }) / 1000),
    decodeMs: roundTo(timeUs(5, () => { decodeState(bytes) }) / 1000),
    rebuildFromAllRecordsMs: roundTo(fullMs)
  })
}

const measureMemory = (size: Size, bytes: Uint8Array): void => {
  const beforeMb = measureHeapMb()
  const restored = decodeState(bytes).unsafeCoerce()
  const afterMb = measureHeapMb()
  report({
    what: 'state memory', size: size.name, heapMb: roundTo(afterMb - beforeMb, 2), rightCount: restored.rights.size, agentCount: restored.agents.size, itemCount: restored.items.size
  })
}

const measureProposals = (size: Size, state: AgreedState, rounds: number): void => {
  const instances = listInstances(size)
  const self = ROUTERS[1] as InstanceName
  report({
    what: 'proposals',
    size: size.name,
    roundsOf2000ToStart: rounds,
    idleRoundUs: timeUs(20, () => { proposeRights(state, instances, { mayPropose: () => true }, state.asOfMs) }),
    shouldProposeFirstAmong350Us: timeUs(200, index => { shouldPropose(`service-0/condition-reader-${index}`, [...ROUTERS], self, 0) }),
    shouldProposeAgainUs: timeUs(200, index => { shouldPropose(`service-0/condition-reader-${index % 10}`, ROUTERS, self, 0) })
  })
}

/** Counts the records that one event causes, by applying it to a settled state. */
const measureAppends = (size: Size, state: AgreedState): void => {
  const [keysRight] = [...state.rights.values()].filter(right => right.key.kind === 'keys')
  const holder = keysRight?.holder ?? agentName(0)
  const rightsOfHolder = [...state.rights.values()].filter(right => right.holder === holder)
  const keysCount = rightsOfHolder.filter(right => right.key.kind === 'keys').length
  const draining = applyRecord(state, toPlacedRecords([toLogRecord({ kind: 'drain.set', instance: holder, draining: true, operatorName: 'operator' })], state)[0] as PlacedRecord).state
  const revokes = proposeRights(draining, listInstances(size), { mayPropose: () => true, maxCount: 10_000 }, state.asOfMs).length
  const body = configSet(size, 0, 1)
  report({
    what: 'records per event',
    size: size.name,
    coldStart: 0,
    onceRequest: 0,
    configChange: 1,
    configChangeBytes: encodeRecord(body).byteLength,
    agentRestart: 1 + keysCount,
    drain: 1 + revokes * 3,
    rightsOfThatAgent: rightsOfHolder.length,
    grantBytes: encodeRecord(toLogRecord({ kind: 'right.grant', right: keysRight?.key ?? { kind: 'keys', target: 'a/b' as never }, instance: holder, incarnation: toIncarnation(0), expectedFence: 123456 })).byteLength
  })
}

for (const size of SIZES) {
  const { state, records, rounds } = buildState(size)
  measureFold(size, state)
  measureSnapshot(size, state, records)
  measureProposals(size, state, rounds)
  measureAppends(size, state)
  measureMemory(size, encodeState(state))
}
