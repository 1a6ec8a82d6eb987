import type { CallerName } from '@figmount/base'
import type { Outcome, Scenario, SimulatedRequest } from './types.js'

/** Results of one run from the callers' point of view. Times are virtual and exact. */
export interface Measures {
  readonly requestCount: number
  readonly servedCount: number
  /** Requests that had no answer by the end of the run. */
  readonly unservedCount: number
  /** Attempts per second that were served before their deadline. */
  readonly goodputPerSecond: number
  /** Time from the first send to the first token, including resends. For requests without a first token, their age at the end. */
  readonly p50FirstTokenMs: number
  readonly p99FirstTokenMs: number
  readonly p999FirstTokenMs: number
  readonly refusalCount: number
  /** Share of the checked refusals after which the server left no slot empty while the request could still have ended in time. */
  readonly trueRefusalShare: number
  /** Time that callers lost through refused attempts, averaged over all requests. */
  readonly meanLostMs: number
  /** Share of refusals that were sent within a second of the attempt. */
  readonly earlyRefusalShare: number
  /** Attempts that were admitted but not answered by their deadline. */
  readonly missedCount: number
  readonly attemptCount: number
  /** Jain's index over the callers' ratios of served to demanded tokens; 1 when all ratios are equal. */
  readonly fairness: number
  readonly coldStartCount: number
  /** Latest arrival of a request that waited longer than `SLOW_MS` for its first token; 0 when none did. */
  readonly lastSlowArrivalMs: number
  /** Requests served in each interval of `BUCKET_MS`. */
  readonly servedPerBucket: readonly number[]
}

/** A request and when it was served. */
export interface RequestRecord {
  readonly request: SimulatedRequest
  readonly firstTokenAtMs?: number
  readonly servedAtMs?: number
}

/** Collects the outcomes of a run. */
export interface Recorder {
  readonly attempt: (request: SimulatedRequest) => void
  readonly outcome: (request: SimulatedRequest, outcome: Outcome, sentAtMs: number, atMs: number) => void
  readonly recordRefusalCheck: (request: SimulatedRequest, isTrue: boolean) => void
  readonly coldStart: () => void
  readonly measure: (isObserved?: (request: SimulatedRequest) => boolean) => Measures
}

export const BUCKET_MS = 10_000

/** Several times the wait of a request at seven tenths of capacity. */
const SLOW_MS = 5_000

const EARLY_MS = 1_000

const isSlow = ({ request, firstTokenAtMs }: RequestRecord): boolean =>
  firstTokenAtMs === undefined || firstTokenAtMs - request.atMs > SLOW_MS

const percentile = (sorted: readonly number[], share: number): number =>
  Math.round(sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(share * sorted.length) - 1))] ?? 0)

/** Jain's fairness index. */
export const jainIndex = (parts: readonly number[]): number => {
  const sum = parts.reduce((total, part) => total + part, 0)
  const squares = parts.reduce((total, part) => total + part * part, 0)
  return squares === 0 ? 1 : sum * sum / (parts.length * squares)
}

const fairnessOf = (records: readonly RequestRecord[]): number => {
  const demanded = new Map<CallerName, number>()
  const served = new Map<CallerName, number>()
  for (const { request, servedAtMs } of records) {
    demanded.set(request.caller, (demanded.get(request.caller) ?? 0) + request.tokens)
    if (servedAtMs !== undefined) served.set(request.caller, (served.get(request.caller) ?? 0) + request.tokens)
  }
  return jainIndex([...demanded].map(([caller, tokens]) => (served.get(caller) ?? 0) / tokens))
}

/** Creates the recorder of one run. */
export const createRecorder = (scenario: Scenario): Recorder => {
  const records = new Map<string, RequestRecord>()
  const attempts = new Map<string, number>()
  const refusals: { readonly request: SimulatedRequest, readonly afterMs: number }[] = []
  const refusalChecks: { readonly request: SimulatedRequest, readonly isTrue: boolean }[] = []
  const misses: SimulatedRequest[] = []
  let coldStartCount = 0

  return {
    attempt: request => {
      if (!records.has(request.id)) records.set(request.id, { request })
      attempts.set(request.id, (attempts.get(request.id) ?? 0) + 1)
    },
    outcome: (request, outcome, sentAtMs, atMs) => {
      if (outcome.kind === 'served') records.set(request.id, { request, firstTokenAtMs: outcome.firstTokenAtMs, servedAtMs: atMs })
      if (outcome.kind === 'refused') refusals.push({ request, afterMs: atMs - sentAtMs })
      if (outcome.kind === 'missed') misses.push(request)
    },
    recordRefusalCheck: (request, isTrue) => { refusalChecks.push({ request, isTrue }) },
    coldStart: () => { coldStartCount += 1 },
    measure: (isObserved = () => true) => {
      const observed = [...records.values()].filter(record => isObserved(record.request))
      const served = observed.filter(record => record.servedAtMs !== undefined)
      const firstTokens = observed
        .map(record => (record.firstTokenAtMs ?? scenario.durationMs) - record.request.atMs)
        .sort((a, b) => a - b)
      const refusedAfterMs = refusals.filter(refusal => isObserved(refusal.request)).map(refusal => refusal.afterMs)
      const checked = refusalChecks.filter(refusal => isObserved(refusal.request))
      const servedPerBucket = Array.from({ length: Math.ceil(scenario.durationMs / BUCKET_MS) }, () => 0)
      for (const record of served) servedPerBucket[Math.floor(record.servedAtMs! / BUCKET_MS)]! += 1
      return {
        requestCount: observed.length,
        servedCount: served.length,
        unservedCount: observed.length - served.length,
        goodputPerSecond: served.length / scenario.durationMs * 1_000,
        p50FirstTokenMs: percentile(firstTokens, 0.5),
        p99FirstTokenMs: percentile(firstTokens, 0.99),
        p999FirstTokenMs: percentile(firstTokens, 0.999),
        refusalCount: refusedAfterMs.length,
        meanLostMs: Math.round(refusedAfterMs.reduce((sum, afterMs) => sum + afterMs, 0) / Math.max(1, observed.length)),
        earlyRefusalShare: refusedAfterMs.length === 0 ? 1 : refusedAfterMs.filter(afterMs => afterMs <= EARLY_MS).length / refusedAfterMs.length,
        trueRefusalShare: checked.length === 0 ? 1 : checked.filter(one => one.isTrue).length / checked.length,
        missedCount: misses.filter(isObserved).length,
        attemptCount: observed.reduce((sum, record) => sum + (attempts.get(record.request.id) ?? 0), 0),
        fairness: fairnessOf(observed),
        coldStartCount,
        lastSlowArrivalMs: Math.round(Math.max(0, ...observed.filter(isSlow).map(record => record.request.atMs))),
        servedPerBucket
      }
    }
  }
}
