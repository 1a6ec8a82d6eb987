import { Left, Right } from 'purify-ts'
import { makeFault } from '@figmount/base'

import { MAX_ANSWER_BYTES } from './constants.js'
import { isComplete } from './isComplete.js'

import type { Either } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { OpenAnswer } from './types.js'

const STEP = 'forwarding.readWhole'

/** Reads an answer to its end; a fault if it breaks off or is too large. */
export const readAnswer = async ({ message, abort }: OpenAnswer, serverId: string): Promise<Either<Fault, Buffer>> =>
  await new Promise(resolve => {
    const chunks: Buffer[] = []
    let byteCount = 0
    const fail = (reason: string): void => resolve(Left(makeFault('unavailable', STEP, serverId, reason)))
    message.on('data', (chunk: Buffer) => {
      byteCount += chunk.length
      if (byteCount > MAX_ANSWER_BYTES) {
        fail(`answer of over ${MAX_ANSWER_BYTES} bytes`)
        abort()
        return
      }
      chunks.push(chunk)
    })
    message.on('end', () => isComplete(message) ? resolve(Right(Buffer.concat(chunks))) : fail('answer broke off'))
    message.on('error', error => fail(error.message))
    message.on('close', () => fail('connection closed'))
  })
