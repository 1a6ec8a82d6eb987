import { chooseFirstReady } from './chooseFirstReady.js'

import type { ChooseBackend } from './types.js'

/** Baseline: always a holder of the prompt prefix when there is one, as plain prefix routing does. */
export const choosePrefixHolder: ChooseBackend = (request, candidates, random) => {
  const holders = candidates.filter(candidate => candidate.hasPrefix)
  return chooseFirstReady(request, holders.length > 0 ? holders : candidates, random)
}
