import { defineEvents } from './defineEvents.js'

/** Events that every binary reports. */
export const BaseEvent = defineEvents({
  processStarted: [1001, 'the process has read its settings and listens'],
  processStopping: [1002, 'a stop was requested; draining begins'],
  processStopped: [1003, 'the process has drained and exits'],
  badInput: [1004, 'invalid external input was rejected; the process continues'],
  unexpectedFault: [1005, 'a step failed with an error that has no event kind of its own'],
  settingsReloaded: [1006, 'a changed settings file was loaded'],
  settingsRefused: [1007, 'a changed settings file is invalid; the current settings stay in force'],
  storeRestored: [1008, 'the store has come back from an older copy: what was written last may be gone, and offsets are given out again'],
  recordDropped: [1009, 'a record that was read from the store counts as older than the one known under its key and is dropped'],
  deploymentOutdated: [1010, 'a configuration older than the one in force was received and is not put in force'],
  processFailing: [1011, 'an exception that nothing caught, and where it arose: a process that has started goes on'],
  processStoodStill: [1012, 'the process stood still for a while: what it knows is of before'],
  memoryGrown: [1013, 'the process holds more memory than ever before'],
  addressAwaited: [1014, 'another process holds an address: the process waits for it'],
  addressTaken: [1015, 'an address that was held is free: the process listens on it'],
  recordsBounded: [1016, 'a topic of the store holds more than a process can: what is beyond the bound is not taken'],
  processLate: [1017, 'the timers of the process run late: what arrives at its connections is read as late'],
  connectionsClosed: [1018, 'connections that others had opened were closed, and why: a new one without a place (refused), one that rested for a new one (replaced), one that held much of the memory (shed), a head that did not end in time (late)']
})
