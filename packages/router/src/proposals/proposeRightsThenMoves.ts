import { proposeMoves, proposeRights } from '@figmount/records'

import type { ProposeRights } from './types.js'

/** Grants and revokes first; slots are evened out only in rounds that have nothing else to propose. */
export const proposeRightsThenMoves: ProposeRights = (state, instances, facts, nowMs) => {
  const rights = proposeRights(state, instances, facts, nowMs)
  return rights.length > 0 ? rights : proposeMoves(state, instances, facts)
}
