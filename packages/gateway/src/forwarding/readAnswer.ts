import { Left, Right } from 'purify-ts'
import { createBodyStore, makeFault } from '@figmount/base'

import { FREE_BYTES } from '../memory/constants.js'
import { MAX_ANSWER_BYTES } from './constants.js'
import { BytesEnd, bytesEndOf } from './framing.js'

import type { Either } from 'purify-ts'
import type { BodyFlaw, Fault } from '@figmount/base'
import type { Hold } from '../memory/createHeldBytes.js'
import type { OpenAnswer } from './types.js'

const STEP = 'forwarding.readWhole'

const FLAW_REASONS: Readonly<Record<BodyFlaw, string>> = {
  tooLarge: `answer of over ${MAX_ANSWER_BYTES} bytes`,
  tinyChunks: 'answer in too many short chunks'
}

/** An answer that was read to its end. */
export interface ReadAnswer {
  readonly body: Buffer
  readonly end: BytesEnd
  /** The room that the body takes; undefined for a short one. */
  readonly hold: Hold | undefined
}

interface Options {
  readonly serverId: string
  /** Aborts when the exchange must end. */
  readonly signal: AbortSignal
  /** Reserves room for the answer. */
  readonly reserve: (bytes: number, granted: () => void) => Hold
}

/** The most that an answer can have: what it announces, or what is allowed. */
const mostBytesOf = ({ message }: OpenAnswer): number => Math.min(Number(message.headers['content-length'] ?? MAX_ANSWER_BYTES), MAX_ANSWER_BYTES)

/** Reads an answer to its end, a longer one only once there is room for all of it; a fault if it breaks off or is too large. */
export const readAnswer = async (open: OpenAnswer, { serverId, signal, reserve }: Options): Promise<Either<Fault, ReadAnswer>> =>
  await new Promise(resolve => {
    const { message, guard, abort } = open
    const received = createBodyStore(MAX_ANSWER_BYTES)
    let hold: Hold | undefined
    let isOver = false

    const finish = (result: Either<Fault, ReadAnswer>): void => {
      if (isOver) return
      isOver = true
      signal.removeEventListener('abort', giveUp)
      if (result.isLeft()) hold?.release()
      resolve(result)
    }
    const fail = (reason: string): void => {
      received.clear()
      finish(Left(makeFault('unavailable', STEP, serverId, reason)))
    }
    const giveUp = (): void => fail('given up')
    const failAndAbort = (reason: string): void => {
      fail(reason)
      abort()
    }

    const awaitRoom = (): void => {
      message.pause()
      hold = reserve(mostBytesOf(open), () => { message.resume() })
      hold.onStalled(() => failAndAbort('stalled, and others wait for its room'))
    }

    // A paused answer that was received completely does not report the end of its connection.
    signal.addEventListener('abort', giveUp, { once: true })
    if (signal.aborted) giveUp()
    message.on('data', guard((chunk: Buffer) => {
      if (isOver) return
      const flaw = received.flawWith(chunk)
      if (flaw) return failAndAbort(FLAW_REASONS[flaw])
      received.append(chunk)
      hold?.moved()
      if (!hold && received.byteCount() > FREE_BYTES) awaitRoom()
    }))
    message.on('end', guard(() => {
      const end = bytesEndOf(open)
      if (end === BytesEnd.BrokenOff) return fail('answer broke off')
      hold?.shrink(received.byteCount())
      finish(Right({ body: received.take(), end, hold }))
    }))
    message.on('error', guard((error: Error) => fail(error.message)))
    message.on('close', guard(() => fail('connection closed')))
  })
