import { Agent } from 'node:http'
import { createClient } from '@connectrpc/connect'
import { EitherAsync } from 'purify-ts'
import { createTransport, FaultKind, faultFrom, makeFault } from '@figmount/base'
import { PlatformLog } from '@figmount/schema'

import { APPEND_CALL_MS, READ_MAX_COUNT, READ_SLACK_MS } from './constants.js'

import type { Client } from '@connectrpc/connect'
import type { Fault, LogOffset, TimerService } from '@figmount/base'
import type { RawRecord } from './types.js'

/** An answer to a read. */
export interface LogRead {
  readonly records: readonly RawRecord[]
  readonly oldestOffset: LogOffset
  readonly headOffset: LogOffset
}

/** The platform's log by its two calls; errors are values. */
export interface PlatformLogCalls {
  readonly read: (fromOffset: LogOffset, waitMs: number) => EitherAsync<Fault, LogRead>
  /** The offset of the first record. The outcome of a call that faulted is unknown. */
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

/** Makes the calls to the log at `address`. Reads and appends have a connection each. */
export const openLog = (address: string, timers: TimerService): PlatformLogCalls => {
  const connections = { read: connect(address), append: connect(address) }
  let closed = false

  // Guards against a connection that something between the two ends has forgotten: calls on it
  // get neither an answer nor an error. A fault therefore always costs the connection, too.
  const renew = (use: 'read' | 'append'): void => {
    connections[use].pool.destroy()
    if (!closed) connections[use] = connect(address)
  }

  const call = <T>(use: 'read' | 'append', deadlineMs: number, run: (client: Client<typeof PlatformLog>, signal: AbortSignal) => Promise<T>): EitherAsync<Fault, T> =>
    EitherAsync<unknown, T>(async () => {
      const abort = new AbortController()
      const cancel = timers.after(deadlineMs, () => abort.abort(makeFault(FaultKind.Timeout, `log.${use}`, address, `no answer within ${deadlineMs} ms`)))
      try {
        return await run(connections[use].client, abort.signal)
      } finally {
        cancel()
      }
    })
      .mapLeft(faultFrom(`log.${use}`, address))
      .ifLeft(() => renew(use))

  return {
    read: (fromOffset, waitMs) =>
      call('read', waitMs + READ_SLACK_MS, async (client, signal) =>
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
      call('append', APPEND_CALL_MS, async (client, signal) =>
        await client.append({ payloads: [...payloads] }, { signal })
      ).map(answer => Number(answer.firstOffset) as LogOffset),
    close: () => {
      closed = true
      renew('read')
      renew('append')
    }
  }
}
