import { request as httpRequest } from 'node:http'
import { ProbeResult } from '@figmount/decisions'

import { boundInterimAnswers } from './boundInterimAnswers.js'
import { createListenerGuard } from './guardListener.js'

import type { IncomingMessage } from 'node:http'
import type { TimerService } from '@figmount/base'
import type { HeaderCodec, ServerEntry } from '@figmount/fleet'

/** Dependencies of a health check. */
export interface ProbeContext {
  readonly timers: TimerService
  readonly codec: HeaderCodec
}

const STEP = 'forwarding.probe'
const MISDIRECTED = 421

/** Sends one health check to a server on a new connection, to find out whether the start in the entry still runs. */
export const probeServer = async (
  { timers, codec }: ProbeContext, { serverId, address }: ServerEntry, healthPath: string, timeoutMs: number
): Promise<ProbeResult> => await new Promise(resolve => {
  const [host = '', port = ''] = address.split(':')
  const forwarded = codec.encodeForward([], { serverId, deadlineMs: timeoutMs, priority: -1, organisationName: '', lastEventId: '' })
  const request = httpRequest({ host, port: Number(port), method: 'GET', path: healthPath, agent: false, headers: ['Host', address, ...forwarded] })

  const end = (result: ProbeResult): void => {
    stopTimer()
    request.destroy()
    resolve(result)
  }

  const takeAnswer = ({ statusCode, rawHeaders }: IncomingMessage): void => {
    const answer = codec.decodeAnswer(rawHeaders)
    if (statusCode === MISDIRECTED) return end(ProbeResult.OtherServer)
    if (answer.serverId === '') return end(ProbeResult.Unclear)
    end(answer.serverId === serverId ? ProbeResult.Alive : ProbeResult.OtherServer)
  }

  const guard = createListenerGuard(STEP, serverId, () => end(ProbeResult.Unclear))
  const stopTimer = timers.after(timeoutMs, () => end(ProbeResult.Unclear))
  request.once('response', guard(takeAnswer))
  boundInterimAnswers(request, guard, () => end(ProbeResult.Unclear))
  request.on('error', guard((error: NodeJS.ErrnoException) => end(error.code === 'ECONNREFUSED' ? ProbeResult.Refused : ProbeResult.Unclear)))
  request.once('close', guard(() => end(ProbeResult.Unclear)))
  request.end()
})
