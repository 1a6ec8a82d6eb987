import { expectedTokens } from '@figmount/standin'

import type { CheckTokens } from './createSender.js'

/** Compares an answer with the tokens that the stand-in engines generate for the request. */
export const checkStandinTokens: CheckTokens = (request, version, tokens) => {
  const model = `${request.traffic.service}/${request.model}`
  const expected = expectedTokens({ model, version, adapter: request.adapter, prompt: request.prompt }, request.traffic.maxTokens)
  return expected.length === tokens.length && expected.every((token, index) => token === tokens[index])
}
