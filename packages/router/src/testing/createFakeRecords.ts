import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'
import { emptyState, foldRecords } from '@figmount/records'

import type { InstanceName, LogOffset } from '@figmount/base'
import type { LogRecord, NewRecord, PlacedRecord, RawRecord, RecordsClient } from '@figmount/records'

/** An in-memory log, and one process's client for it. */
export interface FakeRecords extends RecordsClient {
  readonly put: (record: NewRecord) => void
  /** Makes appends fail while the log is down; records added by `put` still arrive, as if received from a peer. */
  readonly setDown: (isDown: boolean) => void
  readonly offered: () => readonly RawRecord[]
}

export const createFakeRecords = (): FakeRecords => {
  let state = emptyState
  let offset = 0
  let isDown = false
  const listeners = new Set<Parameters<RecordsClient['onChange']>[0]>()
  const offered: RawRecord[] = []

  const append = (record: NewRecord) => {
    const full = { recordId: `fake-${offset}`, writer: 'fake' as InstanceName, ...record } as LogRecord
    const placed: PlacedRecord = { offset: offset as LogOffset, appendedAtMs: offset, record: full }
    offset += 1
    const result = foldRecords(state, [placed])
    state = result.state
    for (const listen of listeners) listen([placed], state)
    const [outcome] = result.outcomes
    return { outcome: outcome ?? { applied: false as const, reason: 'not folded' }, offset: placed.offset }
  }

  return {
    state: () => state,
    confirmedAtMs: () => Infinity,
    isReady: () => true,
    onChange: listen => {
      listeners.add(listen)
      return () => { listeners.delete(listen) }
    },
    append: record => EitherAsync.liftEither(isDown ? Left(makeFault(FaultKind.Unavailable, 'log.append', 'log', 'down')) : Right(append(record))),
    offer: records => { offered.push(...records) },
    rawFrom: fromOffset => fromOffset < offset ? [{ offset: fromOffset, appendedAtMs: 0, payload: new Uint8Array() }] : [],
    stop: () => {},
    put: record => { append(record) },
    setDown: value => { isDown = value },
    offered: () => offered
  }
}
