import type { ServerResponse } from 'node:http'

/**
 * Ends an answer once its bytes are handed to the operating system.
 *
 * Guards against truncated answers to callers that read slowly: Node considers a connection idle as soon as its answer is ended, so a
 * stopping router would close it with the rest unsent.
 */
export const endAfterDrain = (response: ServerResponse): void => {
  if (response.writableNeedDrain) response.once('drain', () => response.end())
  else response.end()
}

/** Sends the rest of an answer piece by piece, each once the caller has taken the one before, and ends it; `moved` is called with each. */
export const sendPieces = (response: ServerResponse, pieces: Iterable<Buffer>, moved: () => void): void => {
  const rest = pieces[Symbol.iterator]()
  const sendMore = (): void => {
    moved()
    for (let next = rest.next(); next.done !== true; next = rest.next()) {
      if (response.write(next.value)) continue
      response.once('drain', sendMore)
      return
    }
    endAfterDrain(response)
  }
  sendMore()
}
