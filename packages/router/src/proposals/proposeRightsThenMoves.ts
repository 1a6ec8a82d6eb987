import { proposeMoves, proposeRights } from '@figmount/records'

import type { ProposeRights } from './types.js'

/** Proposes grants and revocations first; moves that balance slots only in rounds without other proposals. */
export const proposeRightsThenMoves: ProposeRights = (state, instances, options, nowMs) => {
  const rights = proposeRights(state, instances, options, nowMs)
  return rights.length > 0 ? rights : proposeMoves(state, instances, options)
}
