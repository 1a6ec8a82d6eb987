import { createEventLog, createMetrics, createTimerService, createTransport, makeOwnRoom } from '@figmount/base'

import { standinSettings } from '../settings/standinSettings.js'
import { startStandin } from '../startStandin.js'

import type { Transport } from '@connectrpc/connect'
import type { EventRecord, InstanceName } from '@figmount/base'

/** A stand-in that runs in the process of the test. */
export interface StandinUnderTest {
  readonly address: string
  readonly transport: Transport
  readonly events: () => readonly EventRecord[]
  readonly command: (command: object) => Promise<unknown>
  readonly stop: () => Promise<void>
}

/** Sends one command to a control API. */
export const sendCommand = async (address: string, command: object): Promise<unknown> => {
  const response = await fetch(`http://${address}/control`, { method: 'POST', body: JSON.stringify(command) })
  return await response.json()
}

/** Starts a stand-in with the given `[standin]` keys on a port that the operating system selects. */
export const startForTest = async (standin: object): Promise<StandinUnderTest> => {
  const timers = createTimerService()
  const events = createEventLog({ instance: 'standin' as InstanceName, role: 'standin', timers })
  const settings = standinSettings.parse({ process: { instance: 'standin' }, standin })
  const started = await startStandin({ settings, timers, events, metrics: createMetrics(), connections: makeOwnRoom(timers) })
  const [address = '', controlAddress = address] = started.address.split(' ')
  return {
    address,
    transport: createTransport({ address }),
    events: events.recent,
    command: async command => await sendCommand(controlAddress, command),
    stop: started.stop
  }
}
