import { MAX_P50_GROWTH, SAMPLE_COUNT } from './constants.js'
import { timeCalls } from './timeCalls.js'

import type { Calls } from './createCalls.js'
import type { BenchRow } from './types.js'

const MEDIAN = 50

/** Compares the streaming RPC with the same request as JSON and with plain HTTP: one token each, at one router. */
export const measureRpc = async (calls: Calls): Promise<readonly BenchRow[]> => {
  const [stream, whole, healthz] = await timeCalls([calls.stream(1), calls.whole(1), calls.healthz])
  const streamMs = stream?.atMs(MEDIAN) ?? 0
  const wholeMs = whole?.atMs(MEDIAN) ?? 0
  const healthzMs = healthz?.atMs(MEDIAN) ?? 0
  const method = `p50 of ${SAMPLE_COUNT} sequential calls each, interleaved`
  return [
    { name: 'rpc.stream.p50', value: streamMs, unit: 'ms', method: `Infer, 1 token; ${method}` },
    { name: 'rpc.whole.p50', value: wholeMs, unit: 'ms', method: `InferWhole as JSON, 1 token; ${method}` },
    { name: 'rpc.healthz.p50', value: healthzMs, unit: 'ms', method: `GET /healthz; ${method}` },
    { name: 'rpc.stream.ratio', value: streamMs / healthzMs, unit: 'ratio', method: 'Infer by /healthz', maxGrowth: MAX_P50_GROWTH },
    { name: 'rpc.whole.ratio', value: wholeMs / healthzMs, unit: 'ratio', method: 'InferWhole by /healthz', maxGrowth: MAX_P50_GROWTH }
  ]
}
