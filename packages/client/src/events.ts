import { defineEvents } from '@figmount/base'

/** Events of the callers' library. */
export const ClientEvent = defineEvents({
  requestIssued: [8001, 'a caller has sent a request with a new key'],
  requestResent: [8002, 'a caller has sent its request again with the same key'],
  answerWhole: [8003, 'a caller has received a complete answer'],
  answerIncomplete: [8004, 'an answer broke off or its frames are inconsistent'],
  refusalHeard: [8005, 'a caller has received a refusal'],
  requestGivenUp: [8006, 'a caller has given up: a refusal without a retry time, or its time limit']
})
