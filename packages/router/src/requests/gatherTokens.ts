import { MAX_FRAME_TOKENS } from './constants.js'

import type { TokensPart } from '../answers/types.js'
import type { AttemptNotice } from '../links/types.js'
import type { NoticeAction } from './readNotice.js'

interface GatheredTokens {
  readonly part: TokensPart
  /** What was read behind the tokens and is still to be acted on. */
  readonly next: NoticeAction | undefined
}

/**
 * Joins the tokens that wait already into one frame for the caller. Nothing waits for a frame to
 * fill: a caller that reads as fast as tokens come gets each at once, and a router or caller that
 * falls behind pays for fewer frames, at some 30 us of processor each (docs/design/routing-path.md).
 */
export const gatherTokens = async (
  first: TokensPart,
  take: (waitMs: number) => Promise<AttemptNotice | undefined>,
  read: (notice: AttemptNotice) => NoticeAction
): Promise<GatheredTokens> => {
  const tokens = [...first.tokens]
  while (tokens.length < MAX_FRAME_TOKENS) {
    const notice = await take(0)
    const next = notice && read(notice)
    if (next?.kind !== 'show') return { part: { ...first, tokens }, next }
    tokens.push(...next.part.tokens)
  }
  return { part: { ...first, tokens }, next: undefined }
}
