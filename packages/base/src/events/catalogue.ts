import { defineEvents } from './defineEvents.js'

/** Events that every binary reports. */
export const BaseEvent = defineEvents({
  processStarted: [1001, 'the process has read its settings and listens'],
  processStopping: [1002, 'a stop was requested; draining begins'],
  processStopped: [1003, 'the process has drained and exits'],
  badInput: [1004, 'invalid external input was rejected; the process continues'],
  unexpectedFault: [1005, 'a step failed with an error that has no event kind of its own'],
  settingsReloaded: [1006, 'a changed settings file was loaded'],
  settingsRefused: [1007, 'a changed settings file is invalid; the current settings stay in force']
})
