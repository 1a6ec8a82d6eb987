import { create } from '@bufbuild/protobuf'
import { WholeAnswerSchema } from '@figmount/schema'

import { finalMessage, numberFrames, refusalMessage } from '../answers/numberFrames.js'
import { admitRequest, authenticateCaller } from './admitRequest.js'
import { openRequest } from './openRequest.js'

import type { HandlerContext, ServiceImpl } from '@connectrpc/connect'
import type { Inference, InferRequest, WholeAnswer } from '@figmount/schema'
import type { AnswerPart } from '../answers/types.js'
import type { ServeContext } from '../requests/types.js'
import type { RouterSettings } from '../settings/types.js'
import type { Gate } from './createGate.js'

interface Options {
  readonly context: ServeContext
  readonly gate: Gate
  readonly limits: RouterSettings['limits']
}

const MAX_LOGGED_LENGTH = 128

const collectWholeAnswer = async (parts: AsyncIterable<AnswerPart>): Promise<WholeAnswer> => {
  const tokens: string[] = []
  let frameCount = 0
  for await (const part of parts) {
    frameCount += 1
    if (part.kind === 'tokens') tokens.push(...part.tokens)
    if (part.kind === 'final') return create(WholeAnswerSchema, { text: tokens.join(''), final: finalMessage(part, frameCount) })
    if (part.kind === 'refusal') return create(WholeAnswerSchema, { refusal: refusalMessage(part.note) })
  }
  return create(WholeAnswerSchema, {})
}

/** Implements the RPC service for callers. */
export const createInference = ({ context, gate, limits }: Options): ServiceImpl<typeof Inference> => {
  const partsOf = (request: InferRequest, handler: HandlerContext): AsyncGenerator<AnswerPart> => openRequest({
    context,
    gate,
    admit: () => {
      const state = context.records.state()
      return authenticateCaller(state, handler.requestHeader.get('authorization'))
        .chain(caller => admitRequest({ state, limits, nowMs: context.timers.nowMs() }, caller, request))
    },
    fields: { requestKey: request.requestKey.slice(0, MAX_LOGGED_LENGTH), service: request.service.slice(0, MAX_LOGGED_LENGTH), repeatable: request.repeatable },
    resendCount: request.resendCount,
    signal: handler.signal
  })
  return {
    infer: (request, handler) => numberFrames(partsOf(request, handler)),
    inferWhole: async (request, handler) => await collectWholeAnswer(partsOf(request, handler))
  }
}
