import { defineEvents } from '@figmount/base'

/** Events of the load tool. */
export const LoadEvent = defineEvents({
  runStarted: [7001, 'a run of an experiment begins; count holds the planned requests'],
  runEnded: [7002, 'a run of an experiment has ended; count holds the ended requests'],
  faultFailed: [7003, 'a planned fault could not be brought about, so the run proves nothing of it'],
  answerWrong: [7004, 'an answer is whole by its frames but holds other tokens than it must']
})
