import { Left, Right } from 'purify-ts'
import { makeFault } from '@figmount/base'

import { MAX_ANSWER_BYTES } from './constants.js'
import { BytesEnd, bytesEndOf } from './framing.js'

import type { Either } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { OpenAnswer } from './types.js'

const STEP = 'forwarding.readWhole'

/** An answer that was read to its end. */
export interface ReadAnswer {
  readonly body: Buffer
  readonly end: BytesEnd
}

/** Reads an answer to its end; a fault if it breaks off or is too large. */
export const readAnswer = async (open: OpenAnswer, serverId: string): Promise<Either<Fault, ReadAnswer>> =>
  await new Promise(resolve => {
    const { message, guard, abort } = open
    const chunks: Buffer[] = []
    let byteCount = 0
    const fail = (reason: string): void => resolve(Left(makeFault('unavailable', STEP, serverId, reason)))
    message.on('data', guard((chunk: Buffer) => {
      byteCount += chunk.length
      if (byteCount > MAX_ANSWER_BYTES) {
        fail(`answer of over ${MAX_ANSWER_BYTES} bytes`)
        abort()
        return
      }
      chunks.push(chunk)
    }))
    message.on('end', guard(() => {
      const end = bytesEndOf(open)
      if (end === BytesEnd.BrokenOff) return fail('answer broke off')
      resolve(Right({ body: Buffer.concat(chunks), end }))
    }))
    message.on('error', guard((error: Error) => fail(error.message)))
    message.on('close', guard(() => fail('connection closed')))
  })
