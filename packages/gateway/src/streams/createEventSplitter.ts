import { createByteStore } from '@figmount/base'

import { unfinishedBytes } from './unfinishedBytes.js'
import { MAX_EVENT_BYTES, MAX_EVENT_CHUNKS, SHORT_EVENT_BYTES } from './constants.js'

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
  /** Returns the events that end in this chunk, up to one that is too long. */
  readonly push: (chunk: Buffer) => readonly StreamEvent[]
  /** Bytes of an event that is not complete yet. */
  readonly rest: () => Buffer
  /** An event is longer than `MAX_EVENT_BYTES`, comes in more than `MAX_EVENT_CHUNKS`, or there is no room for it: nothing more is taken. */
  readonly isTooLong: () => boolean
  /** Forgets what is not complete. */
  readonly clear: () => void
}

const NEW_LINE = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_LINE = /^id:[ ]?(.*)$/m
const DATA_LINE = /^data(?::|$)/m

const readEvent = (bytes: Buffer): StreamEvent => {
  const text = bytes.toString('latin1')
  return { bytes, eventId: (ID_LINE.exec(text)?.[1] ?? '').trim(), hasData: DATA_LINE.test(text) }
}

/** Creates a splitter for one `text/event-stream` body. Each byte is looked at once, and copied a bounded number of times. */
export const createEventSplitter = (): EventSplitter => {
  const pending = createByteStore(unfinishedBytes.add)
  let chunkCount = 0
  let lineBytes = 0
  let lastByte: number | undefined
  let isTooLong = false

  /** Takes the end of a line; true if the line is empty. */
  const endLine = (chunk: Buffer, lineStart: number, lineEnd: number): boolean => {
    const byteCount = lineBytes + lineEnd - lineStart
    const previous = lineEnd > lineStart ? chunk[lineEnd - 1] : lastByte
    lineBytes = 0
    return byteCount === 0 || (byteCount === 1 && previous === CARRIAGE_RETURN)
  }

  /** Keeps bytes of the event that is not complete; false if it is too long. */
  const keep = (bytes: Buffer): boolean => {
    chunkCount += 1
    const byteCount = pending.byteCount() + bytes.length
    const hasRoom = byteCount <= SHORT_EVENT_BYTES || !unfinishedBytes.isFull()
    isTooLong = byteCount > MAX_EVENT_BYTES || chunkCount > MAX_EVENT_CHUNKS || !hasRoom
    if (!isTooLong) pending.append(bytes)
    return !isTooLong
  }

  const takeEvent = (bytes: Buffer): StreamEvent | undefined => {
    if (pending.byteCount() === 0 && bytes.length <= MAX_EVENT_BYTES) return readEvent(bytes)
    if (!keep(bytes)) return undefined
    chunkCount = 0
    return readEvent(pending.take())
  }

  return {
    push: chunk => {
      if (isTooLong || chunk.length === 0) return []
      const events: StreamEvent[] = []
      let eventStart = 0
      let lineStart = 0
      for (let index = chunk.indexOf(NEW_LINE); index !== -1; index = chunk.indexOf(NEW_LINE, index + 1)) {
        const isEmpty = endLine(chunk, lineStart, index)
        lineStart = index + 1
        if (!isEmpty) continue
        const event = takeEvent(chunk.subarray(eventStart, lineStart))
        if (!event) return events
        events.push(event)
        eventStart = lineStart
      }
      lineBytes += chunk.length - lineStart
      lastByte = chunk.at(-1)
      if (eventStart < chunk.length) keep(chunk.subarray(eventStart))
      return events
    },
    rest: pending.bytes,
    isTooLong: () => isTooLong,
    clear: pending.clear
  }
}
