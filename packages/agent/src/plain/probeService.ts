import { connect } from 'node:net'

import { CONNECT_TIMEOUT_MS } from './constants.js'

import type { TimerService } from '@figmount/base'

/** Whether something listens at an address; `silent` if there was no answer in time. */
export type Probe = 'up' | 'refused' | 'silent'

/** Opens a connection to the service and closes it again. */
export const probeService = async (address: string, timers: TimerService): Promise<Probe> => await new Promise(resolve => {
  const [host = '', portText = ''] = address.split(':')
  const socket = connect({ host, port: Number(portText) })
  const end = (probe: Probe): void => {
    cancel()
    socket.destroy()
    resolve(probe)
  }
  const cancel = timers.after(CONNECT_TIMEOUT_MS, () => end('silent'))
  socket.once('connect', () => end('up'))
  socket.once('error', (error: NodeJS.ErrnoException) => end(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
})
