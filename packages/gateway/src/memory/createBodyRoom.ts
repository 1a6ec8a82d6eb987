import { BODY_BYTES } from './constants.js'

/** What one request's body takes of the room. */
export interface BodyShare {
  /** Notes by how much the body's memory changes. */
  readonly note: (changeBytes: number) => void
  /** Bodies together take all the room: no long one may grow. */
  readonly isFull: () => boolean
  /** Gives all of it back, for good. */
  readonly end: () => void
}

/** The room of the process for callers' bodies, from their first bytes to the end of their requests. */
export interface BodyRoom {
  readonly open: () => BodyShare
  readonly byteCount: () => number
}

/** Creates the room for callers' bodies. */
export const createBodyRoom = (limitBytes = BODY_BYTES): BodyRoom => {
  let byteCount = 0
  return {
    open: () => {
      let ownBytes = 0
      let isOver = false
      const note = (changeBytes: number): void => {
        if (isOver) return
        ownBytes += changeBytes
        byteCount += changeBytes
      }
      return {
        note,
        isFull: () => byteCount > limitBytes,
        end: () => {
          note(-ownBytes)
          isOver = true
        }
      }
    },
    byteCount: () => byteCount
  }
}
