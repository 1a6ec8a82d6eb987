import { defineEvents } from '@figmount/base'

/** Events of the load tool. */
export const LoadEvent = defineEvents({
  runStarted: [7001, 'a run of an experiment begins; count is the number of planned requests'],
  runEnded: [7002, 'a run of an experiment has ended; count is the number of ended requests'],
  faultFailed: [7003, 'a planned fault could not be injected, so the run does not test it'],
  answerWrong: [7004, 'an answer has consistent frames but wrong tokens']
})
