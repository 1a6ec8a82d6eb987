import { Agent } from 'node:http'
import { createClient } from '@connectrpc/connect'
import { EitherAsync } from 'purify-ts'
import { createTransport, FaultKind, faultFrom, makeFault } from '@figmount/base'
import { PlatformLog } from '@figmount/schema'

import { APPEND_CALL_TIMEOUT_MS, READ_MAX_COUNT, READ_TIMEOUT_MARGIN_MS } from './constants.js'

import type { Client } from '@connectrpc/connect'
import type { Fault, LogOffset, TimerService } from '@figmount/base'
import type { RawRecord } from './types.js'

/** The answer to a read. */
export interface LogRead {
  readonly records: readonly RawRecord[]
  readonly oldestOffset: LogOffset
  readonly headOffset: LogOffset
}

/** The platform's log by its two calls; errors are returned as values. */
export interface PlatformLogCalls {
  readonly read: (fromOffset: LogOffset, waitMs: number) => EitherAsync<Fault, LogRead>
  /** Returns the offset of the first appended record. The outcome of a call that failed is unknown. */
  readonly append: (payloads: readonly Uint8Array[]) => EitherAsync<Fault, LogOffset>
  readonly close: () => void
}

interface Connection {
  readonly pool: Agent
  readonly client: Client<typeof PlatformLog>
}

const connect = (address: string): Connection => {
  const pool = new Agent({ keepAlive: true })
  return { pool, client: createClient(PlatformLog, createTransport({ address, agent: pool })) }
}

/** Creates the calls to the log at `address`. Reads and appends use separate connections. */
export const openLog = (address: string, timers: TimerService): PlatformLogCalls => {
  const connections = { read: connect(address), append: connect(address) }
  let isClosed = false

  // Guards against a connection whose state was lost by a device between the two ends: calls on it get
  // neither an answer nor an error. So every failed call, whatever its fault, replaces the connection.
  const reconnect = (operation: 'read' | 'append'): void => {
    connections[operation].pool.destroy()
    if (!isClosed) connections[operation] = connect(address)
  }

  const call = <T>(operation: 'read' | 'append', deadlineMs: number, run: (client: Client<typeof PlatformLog>, signal: AbortSignal) => Promise<T>): EitherAsync<Fault, T> =>
    EitherAsync<unknown, T>(async () => {
      const abort = new AbortController()
      const cancelTimeout = timers.after(deadlineMs, () => abort.abort(makeFault(FaultKind.Timeout, `log.${operation}`, address, `no answer within ${deadlineMs} ms`)))
      try {
        return await run(connections[operation].client, abort.signal)
      } finally {
        cancelTimeout()
      }
    })
      .mapLeft(faultFrom(`log.${operation}`, address))
      .ifLeft(() => reconnect(operation))

  return {
    read: (fromOffset, waitMs) =>
      call('read', waitMs + READ_TIMEOUT_MARGIN_MS, async (client, signal) =>
        await client.read({ fromOffset: BigInt(fromOffset), maxCount: READ_MAX_COUNT, waitMs }, { signal })
      ).map(answer => ({
        records: answer.records.map(record => ({
          offset: Number(record.offset) as LogOffset,
          appendedAtMs: Number(record.appendedAtMs),
          payload: record.payload
        })),
        oldestOffset: Number(answer.oldestOffset) as LogOffset,
        headOffset: Number(answer.headOffset) as LogOffset
      })),
    append: payloads =>
      call('append', APPEND_CALL_TIMEOUT_MS, async (client, signal) =>
        await client.append({ payloads: [...payloads] }, { signal })
      ).map(answer => Number(answer.firstOffset) as LogOffset),
    close: () => {
      isClosed = true
      reconnect('read')
      reconnect('append')
    }
  }
}
