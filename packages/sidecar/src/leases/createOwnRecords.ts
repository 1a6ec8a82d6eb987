import type { TimerService } from '@figmount/base'
import type { NewRecord } from '@figmount/fleet'

/** The newest record that an agent has written under each key, for as long as it matters. */
export interface OwnRecords {
  /** The record matters for `lifetimeMs` from now. */
  readonly note: (record: NewRecord, lifetimeMs: number) => void
  readonly all: () => readonly NewRecord[]
}

/** Creates the memory of one agent. */
export const createOwnRecords = (timers: TimerService): OwnRecords => {
  const known = new Map<string, { readonly record: NewRecord, readonly untilMs: number }>()

  const trim = (): void => {
    for (const [key, { untilMs }] of known) {
      if (untilMs <= timers.nowMs()) known.delete(key)
    }
  }

  return {
    note: (record, lifetimeMs) => {
      trim()
      known.set(record.key, { record, untilMs: timers.nowMs() + lifetimeMs })
    },
    all: () => {
      trim()
      return [...known.values()].map(({ record }) => record)
    }
  }
}
