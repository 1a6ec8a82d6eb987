import { defineEvents } from '@figmount/base'

/** Events of the caller's library. */
export const ClientEvent = defineEvents({
  requestIssued: [8001, 'a caller has issued a request under a new key'],
  requestResent: [8002, 'a caller has sent its request again with the same key'],
  answerWhole: [8003, 'a caller has a whole answer'],
  answerIncomplete: [8004, 'an answer broke off or its frames do not fit together'],
  refusalHeard: [8005, 'a caller was refused and told when to come back'],
  requestGivenUp: [8006, 'a caller was told that coming back is of no use, or its time is up']
})
