import { defineEvents } from '@figmount/base'

/** Events of the log, its fold and snapshots. */
export const RecordEvent = defineEvents({
  logReached: [5001, 'a read reached the head of the log, for the first time or after an outage'],
  logLost: [5002, 'reads of the log fail; the process continues with its last state'],
  recordIgnored: [5003, 'a record broke a rule and was ignored, with the reason'],
  recordUnreadable: [5004, 'a record could not be decoded or is of a kind that this build does not know'],
  stateRebuilt: [5005, 'the state was rebuilt from a snapshot from the log or a peer'],
  rebuildBlocked: [5006, 'records are missing and no complete snapshot was found; waiting for a peer or a new snapshot'],
  snapshotAppended: [5007, 'a snapshot of the state was appended'],
  appendUnknown: [5008, 'an append was not answered; its record may have taken effect'],
  staleRead: [5009, 'the log answered with an older head than the known one; the read does not confirm the state'],
  configInForce: [5010, 'a version of a configuration item is in force in this process'],
  rightChanged: [5011, 'a right of this instance was granted, revoked, renewed or freed'],
  snapshotRefused: [5012, 'a complete snapshot could not be used, with the reason']
})
