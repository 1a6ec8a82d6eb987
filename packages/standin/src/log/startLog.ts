import { Code, ConnectError } from '@connectrpc/connect'
import { serveRpc, sleep } from '@figmount/base'
import { PlatformLog } from '@figmount/schema'
import * as z from 'zod'

import { createGate, gateCommand } from '../control/createGate.js'
import { createTokenBucket } from '../control/createTokenBucket.js'
import { handleControl } from '../control/handleControl.js'
import { StandinEvent } from '../events.js'
import { appendRecords, EMPTY_LOG, expireRecords, readRecords } from './logState.js'

import type { AppendRequest, ReadRequest } from '@figmount/schema'
import type { StandinContext } from '../settings/types.js'
import type { StartedStandin } from '../control/types.js'
import type { LogSettings } from './settings.js'

/** Longest time that a read may wait, whatever it asks for. */
const MAX_WAIT_MS = 30_000

/** Most records in one answer. */
const MAX_READ_COUNT = 1000

const command = z.discriminatedUnion('action', [
  ...gateCommand.options,
  z.strictObject({ action: z.literal('lose'), count: z.number().int().min(0) }),
  z.strictObject({ action: z.literal('expire'), belowOffset: z.number().int().min(0) })
])

/** Starts the stand-in for the platform's append-only log. */
export const startLog = async (context: StandinContext<LogSettings>): Promise<StartedStandin> => {
  const { settings, timers, events, metrics } = context
  const gate = createGate(timers)
  const bucket = createTokenBucket(timers, settings.appends_per_second, Math.max(1, settings.appends_per_second / 2))
  const retention = { retentionMs: settings.retention_ms, retentionCount: settings.retention_count }
  const waiting = new Set<() => void>()
  let state = EMPTY_LOG
  let loseCount = 0
  let appendCount = 0

  const wakeReaders = (): void => {
    const woken = [...waiting]
    waiting.clear()
    for (const wake of woken) wake()
  }

  const append = async (request: AppendRequest): Promise<{ firstOffset: bigint }> => {
    await gate.pass()
    const retryAfterMs = bucket.take()
    if (retryAfterMs > 0) {
      events.emit(StandinEvent.appendRefused, { retryAfterMs })
      throw new ConnectError('append rate exceeded', Code.ResourceExhausted, { 'retry-after-ms': String(retryAfterMs) })
    }
    const firstOffset = state.headOffset
    state = expireRecords(appendRecords(state, request.payloads, timers.unixMs()), retention, timers.unixMs())
    appendCount += 1
    events.emit(StandinEvent.recordsAppended, { offset: firstOffset, count: request.payloads.length })
    wakeReaders()
    if (loseCount > 0) {
      loseCount -= 1
      events.emit(StandinEvent.answerLost, { offset: firstOffset })
      throw new ConnectError('answer lost', Code.Unavailable)
    }
    return { firstOffset: BigInt(firstOffset) }
  }

  const waitForRecord = async (fromOffset: number, waitMs: number, signal: AbortSignal): Promise<void> => {
    const deadlineMs = timers.nowMs() + Math.min(waitMs, MAX_WAIT_MS)
    while (state.headOffset <= fromOffset && !signal.aborted) {
      const leftMs = deadlineMs - timers.nowMs()
      if (leftMs <= 0) return
      const stop = new AbortController()
      const wake = (): void => stop.abort()
      signal.addEventListener('abort', wake, { once: true })
      waiting.add(wake)
      await sleep(timers, leftMs, stop.signal)
      waiting.delete(wake)
      signal.removeEventListener('abort', wake)
    }
  }

  const read = async (request: ReadRequest, signal: AbortSignal): Promise<object> => {
    await gate.pass()
    const fromOffset = Number(request.fromOffset)
    await waitForRecord(fromOffset, request.waitMs, signal)
    await gate.pass()
    state = expireRecords(state, retention, timers.unixMs())
    const records = readRecords(state, fromOffset, Math.min(request.maxCount || MAX_READ_COUNT, MAX_READ_COUNT))
    return {
      records: records.map(record => ({ ...record, offset: BigInt(record.offset), appendedAtMs: BigInt(record.appendedAtMs) })),
      oldestOffset: BigInt(state.oldestOffset),
      headOffset: BigInt(state.headOffset)
    }
  }

  const run = (given: unknown): unknown => {
    const asked = command.parse(given)
    events.emit(StandinEvent.controlChanged, { detail: JSON.stringify(asked) })
    if (asked.action === 'lose') loseCount = asked.count
    else if (asked.action === 'expire') {
      const kept = state.records.filter(record => record.offset >= asked.belowOffset)
      state = { ...state, records: kept, oldestOffset: kept[0]?.offset ?? state.headOffset }
    } else gate.run(asked)
    // An outage ends the reads that are waiting as well.
    wakeReaders()
    return { headOffset: state.headOffset }
  }

  const dump = (): unknown => ({
    gate: gate.state(), oldestOffset: state.oldestOffset, headOffset: state.headOffset, appendCount, loseCount
  })

  const server = await serveRpc({
    host: context.host,
    port: context.port,
    metrics,
    routes: router => {
      router.service(PlatformLog, { append, read: async (request, call) => await read(request, call.signal) })
    },
    handlePlain: handleControl({ dump, run })
  })
  return { address: server.address, stop: server.close }
}
