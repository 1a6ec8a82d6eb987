import { defineEvents } from './defineEvents.js'

/** Events that every binary reports. */
export const BaseEvent = defineEvents({
  processStarted: [1001, 'the process has read its settings and listens'],
  processStopping: [1002, 'a stop was asked for; draining begins'],
  processStopped: [1003, 'the process has drained and ends'],
  badInput: [1004, 'input from outside was refused; the process goes on'],
  unexpectedFault: [1005, 'a step failed in a way that has no event of its own'],
  settingsReloaded: [1006, 'a changed settings file was read'],
  settingsRefused: [1007, 'a changed settings file does not hold; the settings in force stay']
})
