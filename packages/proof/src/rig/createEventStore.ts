import { createWriteStream } from 'node:fs'

import { WAIT_TIMEOUT_MS } from './constants.js'

import type { EventRecord, TimerService } from '@figmount/base'
import type { EventMatch, EventStore, WaitOptions } from './types.js'

interface Waiter {
  readonly match: EventMatch
  readonly resolve: (event: EventRecord) => void
}

/** Stores events in memory and appends them to a file as JSON lines. */
export const createEventStore = (file: string, timers: TimerService): EventStore => {
  const events: EventRecord[] = []
  const waiters = new Set<Waiter>()
  const output = createWriteStream(file, { flags: 'a' })

  const add = (event: EventRecord): void => {
    events.push(event)
    output.write(`${JSON.stringify(event)}\n`)
    for (const waiter of waiters) {
      if (!waiter.match(event)) continue
      waiters.delete(waiter)
      waiter.resolve(event)
    }
  }

  const waitFor = async (match: EventMatch, what: string, { sinceMark = 0, timeoutMs = WAIT_TIMEOUT_MS }: WaitOptions = {}): Promise<EventRecord> => {
    const found = events.slice(sinceMark).find(match)
    if (found) return found
    return await new Promise((resolve, reject) => {
      const waiter: Waiter = {
        match,
        resolve: event => {
          cancel()
          resolve(event)
        }
      }
      const cancel = timers.after(timeoutMs, () => {
        waiters.delete(waiter)
        reject(new Error(`timed out after ${timeoutMs} ms waiting for: ${what} (events in ${file})`))
      })
      waiters.add(waiter)
    })
  }

  return {
    add,
    all: () => events,
    mark: () => events.length,
    waitFor,
    close: () => { output.end() }
  }
}
