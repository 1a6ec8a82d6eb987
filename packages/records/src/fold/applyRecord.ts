import { foldRecords } from './foldRecords.js'
import { ignored } from './outcomes.js'

import type { AgreedState, FoldInput, FoldOutcome } from './types.js'

/** Folds one record. For several records use `foldRecords`, which copies less. */
export const applyRecord = (state: AgreedState, record: FoldInput): { readonly state: AgreedState, readonly outcome: FoldOutcome } => {
  const folded = foldRecords(state, [record])
  return { state: folded.state, outcome: folded.outcomes[0] ?? ignored('nothing to fold') }
}
