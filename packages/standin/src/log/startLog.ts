import { Code, ConnectError } from '@connectrpc/connect'
import { serveRpc, sleep } from '@figmount/base'
import { PlatformLog } from '@figmount/schema'
import * as z from 'zod'

import { createFaultInjector, faultCommand } from '../control/createFaultInjector.js'
import { createTokenBucket } from '../control/createTokenBucket.js'
import { handleControl } from '../control/handleControl.js'
import { StandinEvent } from '../events.js'
import { appendRecords, EMPTY_LOG, expireRecords, readRecords } from './logState.js'

import type { AppendRequest, ReadRequest } from '@figmount/schema'
import type { StandinContext } from '../settings/types.js'
import type { StartedStandin } from '../control/types.js'
import type { LogSettings } from './settings.js'

/** Maximum time that a read may wait, even if it requests more. */
const MAX_WAIT_MS = 30_000

/** Maximum number of records in one answer. */
const MAX_READ_COUNT = 1000

const commandSchema = z.discriminatedUnion('action', [
  ...faultCommand.options,
  z.strictObject({ action: z.literal('lose'), count: z.number().int().min(0) }),
  z.strictObject({ action: z.literal('expire'), belowOffset: z.number().int().min(0) })
])

/** Starts the stand-in for the platform's append-only log. */
export const startLog = async (context: StandinContext<LogSettings>): Promise<StartedStandin> => {
  const { settings, timers, events, metrics } = context
  const faultInjector = createFaultInjector(timers)
  const bucket = createTokenBucket(timers, settings.appends_per_second, Math.max(1, settings.appends_per_second / 2))
  const retention = { retentionMs: settings.retention_ms, retentionCount: settings.retention_count }
  const waitingReaders = new Set<() => void>()
  let state = EMPTY_LOG
  let loseCount = 0
  let appendCount = 0

  const notifyReaders = (): void => {
    const readers = [...waitingReaders]
    waitingReaders.clear()
    for (const notify of readers) notify()
  }

  const append = async (request: AppendRequest): Promise<{ firstOffset: bigint }> => {
    await faultInjector.applyFaults()
    const retryAfterMs = bucket.take()
    if (retryAfterMs > 0) {
      events.emit(StandinEvent.appendRefused, { retryAfterMs })
      throw new ConnectError('append rate exceeded', Code.ResourceExhausted, { 'retry-after-ms': String(retryAfterMs) })
    }
    const firstOffset = state.headOffset
    state = expireRecords(appendRecords(state, request.payloads, timers.unixMs()), retention, timers.unixMs())
    appendCount += 1
    events.emit(StandinEvent.recordsAppended, { offset: firstOffset, count: request.payloads.length })
    notifyReaders()
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
      const remainingMs = deadlineMs - timers.nowMs()
      if (remainingMs <= 0) return
      const waitAbort = new AbortController()
      const notify = (): void => waitAbort.abort()
      signal.addEventListener('abort', notify, { once: true })
      waitingReaders.add(notify)
      await sleep(timers, remainingMs, waitAbort.signal)
      waitingReaders.delete(notify)
      signal.removeEventListener('abort', notify)
    }
  }

  const read = async (request: ReadRequest, signal: AbortSignal): Promise<object> => {
    await faultInjector.applyFaults()
    const fromOffset = Number(request.fromOffset)
    await waitForRecord(fromOffset, request.waitMs, signal)
    await faultInjector.applyFaults()
    state = expireRecords(state, retention, timers.unixMs())
    const records = readRecords(state, fromOffset, Math.min(request.maxCount || MAX_READ_COUNT, MAX_READ_COUNT))
    return {
      records: records.map(record => ({ ...record, offset: BigInt(record.offset), appendedAtMs: BigInt(record.appendedAtMs) })),
      oldestOffset: BigInt(state.oldestOffset),
      headOffset: BigInt(state.headOffset)
    }
  }

  const run = (input: unknown): unknown => {
    const command = commandSchema.parse(input)
    events.emit(StandinEvent.controlChanged, { detail: JSON.stringify(command) })
    if (command.action === 'lose') loseCount = command.count
    else if (command.action === 'expire') {
      const remaining = state.records.filter(record => record.offset >= command.belowOffset)
      state = { ...state, records: remaining, oldestOffset: remaining[0]?.offset ?? state.headOffset }
    } else faultInjector.run(command)
    // Notifies waiting reads. They wait again until a record arrives or their wait ends, so an outage fails them only then.
    notifyReaders()
    return { headOffset: state.headOffset }
  }

  const dump = (): unknown => ({
    gate: faultInjector.state(), oldestOffset: state.oldestOffset, headOffset: state.headOffset, appendCount, loseCount
  })

  const server = await serveRpc({
    context,
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
