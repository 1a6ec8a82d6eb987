import { processorUsOf } from '../../packages/capacity/src/measuring/readProcess.js'

import type { Site } from '@figmount/proof'
import type { Calls } from './createCalls.js'
import type { BenchRow } from './types.js'
import type { Call } from './timeCalls.js'

const FEW_TOKENS = 1
const MANY_TOKENS = 65

/** The CPU clock advances in steps of 10 ms; over 400 requests that is a resolution of 0.025 ms per request. */
const REQUEST_COUNT = 400
const CONCURRENCY = 16

interface Costs {
  readonly routerUs: number
  readonly agentUs: number
}

const sendAll = async (call: Call): Promise<void> => {
  let sentCount = 0
  const sendOneByOne = async (): Promise<void> => {
    while (sentCount < REQUEST_COUNT) {
      sentCount += 1
      await call()
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, sendOneByOne))
}

const measureCosts = async (site: Site, call: Call): Promise<Costs> => {
  const readTotals = (): Costs => ({ routerUs: processorUsOf(site.router('r1').pid()), agentUs: processorUsOf(site.agent('a1').pid()) })
  const before = readTotals()
  await sendAll(call)
  const after = readTotals()
  return { routerUs: (after.routerUs - before.routerUs) / REQUEST_COUNT, agentUs: (after.agentUs - before.agentUs) / REQUEST_COUNT }
}

/** CPU time of router and agent per request and per token, from the line through two token counts. */
export const measureProcessor = async (site: Site, calls: Calls): Promise<readonly BenchRow[]> => {
  const few = await measureCosts(site, calls.stream(FEW_TOKENS))
  const many = await measureCosts(site, calls.stream(MANY_TOKENS))
  const method = `${REQUEST_COUNT} requests, ${CONCURRENCY} at a time, of ${FEW_TOKENS} and ${MANY_TOKENS} tokens`
  const rowsOf = (name: string, fewUs: number, manyUs: number): readonly BenchRow[] => {
    const tokenUs = (manyUs - fewUs) / (MANY_TOKENS - FEW_TOKENS)
    return [
      { name: `processor.${name}.request`, value: fewUs - FEW_TOKENS * tokenUs, unit: 'us', method: `intercept; ${method}` },
      { name: `processor.${name}.token`, value: tokenUs, unit: 'us', method: `slope; ${method}` }
    ]
  }
  return [...rowsOf('router', few.routerUs, many.routerUs), ...rowsOf('agent', few.agentUs, many.agentUs)]
}
