import { MAX_FRAME_TOKENS } from './constants.js'

import type { TokensPart } from '../answers/types.js'
import type { AttemptNotice } from '../links/types.js'
import type { NoticeAction } from './readNotice.js'

interface TokenBatch {
  readonly part: TokensPart
  /** Action of the notice that was read after the tokens and is not applied yet. */
  readonly next: NoticeAction | undefined
}

/**
 * Merges tokens that are already queued into one frame for the caller, without waiting for a frame
 * to fill. A caller that keeps up receives each token at once; a router or caller that falls behind
 * processes fewer frames, at about 30 us of CPU time each (docs/design/routing-path.md).
 */
export const batchTokens = async (
  first: TokensPart,
  take: (waitMs: number) => Promise<AttemptNotice | undefined>,
  read: (notice: AttemptNotice) => NoticeAction
): Promise<TokenBatch> => {
  const tokens = [...first.tokens]
  while (tokens.length < MAX_FRAME_TOKENS) {
    const notice = await take(0)
    const next = notice && read(notice)
    if (next?.kind !== 'show') return { part: { ...first, tokens }, next }
    tokens.push(...next.part.tokens)
  }
  return { part: { ...first, tokens }, next: undefined }
}
