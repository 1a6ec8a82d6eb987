import { Code, ConnectError } from '@connectrpc/connect'
import { serveRpc, sleep } from '@figmount/base'
import { WeightStore } from '@figmount/schema'
import * as z from 'zod'

import { createFaultInjector, faultCommand } from '../control/createFaultInjector.js'
import { createTokenBucket } from '../control/createTokenBucket.js'
import { handleControl } from '../control/handleControl.js'
import { StandinEvent } from '../events.js'
import { relativeTransferSpeed } from './relativeTransferSpeed.js'

import type { FetchRequest } from '@figmount/schema'
import type { StartedStandin } from '../control/types.js'
import type { StandinContext } from '../settings/types.js'
import type { WeightsSettings } from './settings.js'

/** Transfers advance in steps of this length, each at the speed at that time. */
const STEP_MS = 20

const commandSchema = z.discriminatedUnion('action', [
  ...faultCommand.options,
  z.strictObject({ action: z.literal('speed'), factor: z.number().positive() })
])

/** Starts the stand-in for the weight store. */
export const startWeights = async (context: StandinContext<WeightsSettings>): Promise<StartedStandin> => {
  const { settings, timers, events, metrics } = context
  const faultInjector = createFaultInjector(timers)
  const bucket = createTokenBucket(timers, settings.loads_per_second, Math.max(1, settings.loads_per_second))
  let activeCount = 0
  let maxActiveCount = 0
  let fetchCount = 0
  let refusedCount = 0
  let speedFactor = 1

  const transfer = async (sizeMb: number): Promise<void> => {
    let remainingMb = sizeMb
    while (remainingMb > 0) {
      await sleep(timers, STEP_MS)
      await faultInjector.applyFaults()
      const speed = relativeTransferSpeed(activeCount, settings.full_speed_count) * speedFactor
      remainingMb -= settings.transfer_mb_per_second * speed * STEP_MS / 1000
    }
  }

  const fetch = async (request: FetchRequest): Promise<{ transferMs: number }> => {
    await faultInjector.applyFaults()
    const retryAfterMs = bucket.take()
    if (retryAfterMs > 0) {
      refusedCount += 1
      events.emit(StandinEvent.fetchRefused, { detail: request.checkpoint, peer: request.instance, retryAfterMs })
      throw new ConnectError('load rate exceeded', Code.ResourceExhausted, { 'retry-after-ms': String(retryAfterMs) })
    }
    const startedMs = timers.nowMs()
    activeCount += 1
    fetchCount += 1
    maxActiveCount = Math.max(maxActiveCount, activeCount)
    events.emit(StandinEvent.fetchStarted, { detail: request.checkpoint, peer: request.instance, count: activeCount })
    try {
      await transfer(request.sizeMb)
    } finally {
      activeCount -= 1
    }
    const transferMs = Math.round(timers.nowMs() - startedMs)
    events.emit(StandinEvent.fetchFinished, { detail: request.checkpoint, peer: request.instance, durationMs: transferMs })
    return { transferMs }
  }

  const run = (input: unknown): unknown => {
    const command = commandSchema.parse(input)
    events.emit(StandinEvent.controlChanged, { detail: JSON.stringify(command) })
    if (command.action === 'speed') speedFactor = command.factor
    else faultInjector.run(command)
    return {}
  }

  const dump = (): unknown => ({ gate: faultInjector.state(), activeCount, maxActiveCount, fetchCount, refusedCount, speedFactor })

  const server = await serveRpc({
    context,
    host: context.host,
    port: context.port,
    metrics,
    routes: router => { router.service(WeightStore, { fetch }) },
    handlePlain: handleControl({ dump, run })
  })
  return { address: server.address, stop: server.close }
}
