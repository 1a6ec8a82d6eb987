import { MAX_P50_GROWTH, MAX_P99_GROWTH, SAMPLE_COUNT } from './constants.js'
import { timeCalls } from './timeCalls.js'

import type { Calls } from './createCalls.js'
import type { BenchRow } from './types.js'

const TOKEN_COUNTS = [1, 32] as const
const PERCENTILES = [{ percentile: 50, maxGrowth: MAX_P50_GROWTH }, { percentile: 99, maxGrowth: MAX_P99_GROWTH }] as const

const measureAt = async (calls: Calls, tokenCount: number): Promise<readonly BenchRow[]> => {
  const [through, direct] = await timeCalls([calls.stream(tokenCount), calls.engine(tokenCount)])
  const method = `whole answer, ${SAMPLE_COUNT} sequential calls each, interleaved`
  return PERCENTILES.flatMap(({ percentile, maxGrowth }): readonly BenchRow[] => {
    const name = `latency.${tokenCount}.p${percentile}`
    const throughMs = through?.atMs(percentile) ?? 0
    const directMs = direct?.atMs(percentile) ?? 0
    return [
      { name: `${name}.through`, value: throughMs, unit: 'ms', method: `router and agent; ${method}` },
      { name: `${name}.direct`, value: directMs, unit: 'ms', method: `Generate at the engine; ${method}` },
      { name: `${name}.added`, value: throughMs - directMs, unit: 'ms', method: 'through less direct' },
      { name: `${name}.ratio`, value: throughMs / directMs, unit: 'ratio', method: 'through by direct', maxGrowth }
    ]
  })
}

/** Measures the latency that router and agent add to a call to the engine, by number of tokens. */
export const measureLatency = async (calls: Calls): Promise<readonly BenchRow[]> => {
  const rows: BenchRow[] = []
  for (const tokenCount of TOKEN_COUNTS) rows.push(...await measureAt(calls, tokenCount))
  return rows
}
