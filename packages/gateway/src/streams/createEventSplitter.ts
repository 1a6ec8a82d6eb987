/** One event of a stream, with its bytes as received. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** Empty for an event without an id, such as a comment. */
  readonly eventId: string
  /** False for a comment and the like, which are no pieces of the stream. */
  readonly hasData: boolean
}

/** Splits a byte stream into events. */
export interface EventSplitter {
  readonly push: (chunk: Buffer) => readonly StreamEvent[]
  /** Bytes of an event that is not complete yet. */
  readonly rest: () => Buffer
}

const NEW_LINE = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_LINE = /^id:[ ]?(.*)$/m
const DATA_LINE = /^data(?::|$)/m

/** Index after the blank line that ends the first event, or -1. */
const endOfEvent = (bytes: Buffer): number => {
  let lineStart = 0
  for (let index = bytes.indexOf(NEW_LINE); index !== -1; index = bytes.indexOf(NEW_LINE, index + 1)) {
    const lineEnd = index > lineStart && bytes[index - 1] === CARRIAGE_RETURN ? index - 1 : index
    if (lineEnd === lineStart) return index + 1
    lineStart = index + 1
  }
  return -1
}

const readEvent = (bytes: Buffer): StreamEvent => {
  const text = bytes.toString('latin1')
  return { bytes, eventId: (ID_LINE.exec(text)?.[1] ?? '').trim(), hasData: DATA_LINE.test(text) }
}

/** Creates a splitter for one `text/event-stream` body. */
export const createEventSplitter = (): EventSplitter => {
  let pending: Buffer = Buffer.alloc(0)
  return {
    push: chunk => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const events: StreamEvent[] = []
      for (let end = endOfEvent(pending); end !== -1; end = endOfEvent(pending)) {
        events.push(readEvent(pending.subarray(0, end)))
        pending = pending.subarray(end)
      }
      return events
    },
    rest: () => pending
  }
}
