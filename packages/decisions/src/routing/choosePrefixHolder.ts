import { chooseFirstReady } from './chooseFirstReady.js'

import type { ChooseBackend } from './types.js'

/** Baseline: always a server that has the prompt prefix cached, if there is one, as in plain prefix routing. */
export const choosePrefixHolder: ChooseBackend = (request, candidates, random) => {
  const holders = candidates.filter(candidate => candidate.hasPrefix)
  return chooseFirstReady(request, holders.length > 0 ? holders : candidates, random)
}
