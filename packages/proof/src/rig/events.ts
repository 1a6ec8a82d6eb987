import { defineEvents } from '@figmount/base'

/** Events that the rig adds to those of the processes. */
export const RigEvent = defineEvents({
  processExited: [9001, 'a process of the rig has ended, with code or signal'],
  processSignalled: [9002, 'the rig sent a signal to a process']
})
