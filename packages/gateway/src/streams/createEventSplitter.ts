/** One event of a stream, with its bytes as received. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** Empty for an event without an id, such as a comment. */
  readonly eventId: string
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

const idOf = (bytes: Buffer): string => (ID_LINE.exec(bytes.toString('latin1'))?.[1] ?? '').trim()

/** Creates a splitter for one `text/event-stream` body. */
export const createEventSplitter = (): EventSplitter => {
  let pending: Buffer = Buffer.alloc(0)
  return {
    push: chunk => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const events: StreamEvent[] = []
      for (let end = endOfEvent(pending); end !== -1; end = endOfEvent(pending)) {
        const bytes = pending.subarray(0, end)
        events.push({ bytes, eventId: idOf(bytes) })
        pending = pending.subarray(end)
      }
      return events
    },
    rest: () => pending
  }
}
