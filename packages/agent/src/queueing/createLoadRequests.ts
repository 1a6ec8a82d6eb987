import { MAX_LOAD_REQUESTS, LOAD_REQUEST_KEEP_MS } from './constants.js'

import type { ModelId, TimerService } from '@figmount/base'
import type { RunRequest } from '@figmount/peers'

/** A model that refused requests need loaded for their retries. Times are monotonic ms. */
export interface LoadRequest {
  readonly model: ModelId
  readonly version: string
  readonly adapter: string
  readonly priority: number
  /** First of the requests that were refused one after the other. */
  readonly askedAtMs: number
  readonly renewedAtMs: number
}

/** Models to load although no request for them is queued. */
export interface LoadRequests {
  /** Adds the model of a request that was refused because the model becomes ready too late for it. */
  readonly add: (request: Pick<RunRequest, 'model' | 'version' | 'adapter' | 'priority'>) => void
  /** Removes the entry of a model that is ready. */
  readonly settle: (model: ModelId) => void
  readonly current: () => readonly LoadRequest[]
}

/**
 * Stores which models refused requests need.
 *
 * Without it, a model whose load takes longer, or is assumed to take longer, than its callers' deadlines is never
 * served: every request is refused before the load begins, none is queued, so nothing is loaded and the assumption is
 * never corrected. Callers would retry indefinitely.
 * The refusal stays immediate; the load is ordered all the same and the resend finds the model ready.
 */
export const createLoadRequests = (timers: TimerService): LoadRequests => {
  const requests = new Map<ModelId, LoadRequest>()

  const dropOld = (): void => {
    const oldestMs = timers.nowMs() - LOAD_REQUEST_KEEP_MS
    for (const request of requests.values()) {
      if (request.renewedAtMs < oldestMs) requests.delete(request.model)
    }
  }

  return {
    add: ({ model, version, adapter, priority }) => {
      const known = requests.get(model)
      if (!known && requests.size >= MAX_LOAD_REQUESTS) return
      const highest = Math.max(priority, known?.priority ?? 0)
      const nowMs = timers.nowMs()
      requests.set(model, { model, version, adapter, priority: highest, askedAtMs: known?.askedAtMs ?? nowMs, renewedAtMs: nowMs })
    },
    settle: model => { requests.delete(model) },
    current: () => {
      dropOld()
      return [...requests.values()]
    }
  }
}
