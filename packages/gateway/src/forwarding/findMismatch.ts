import type { ServerAnswer } from '@figmount/fleet'

const FIRST_SUCCESS = 200
const LAST_SUCCESS = 299

/**
 * Why what came is not the answer to the request with this id; undefined if it is. Servers echo the id in every answer, a refusal too,
 * and sign every success. A connection carries an id once (`createConnectionPool`), so the id also tells one send from another.
 *
 * Guards against bytes that a server adds to a complete answer: they come where the answer to the next request is expected. As a refusal
 * they would let a request run twice.
 */
export const findMismatch = (requestId: string, { requestId: answeredId, isSigned }: ServerAnswer, status: number): string | undefined => {
  if (answeredId !== requestId) return answeredId === '' ? 'an answer without an id' : 'an answer to another request'
  if (status >= FIRST_SUCCESS && status <= LAST_SUCCESS && !isSigned) return 'a success without a signature'
  return undefined
}
