/** What a connection holds, as the choice sees it. */
export interface HeldView {
  readonly heldBytes: number
  /** The part that is for requests other than its first, and for bytes that are not parsed yet. */
  readonly aheadBytes: number
  /** It has no whole request without an answer. */
  readonly isReceiving: boolean
  /** Time since something came in or was answered. */
  readonly stillMs: number
}

/** Order in which connections yield: what was sent ahead first, then what has not come whole and rests, then the largest. */
const compare = (first: HeldView, second: HeldView): number => {
  if (first.aheadBytes !== second.aheadBytes) return second.aheadBytes - first.aheadBytes
  if (first.isReceiving !== second.isReceiving) return first.isReceiving ? -1 : 1
  return first.isReceiving ? second.stillMs - first.stillMs : second.heldBytes - first.heldBytes
}

/**
 * Chooses the connections to close so that `excessBytes` are given back.
 *
 * An ordinary caller sends nothing ahead and does not rest within a request: it yields last.
 */
export const chooseShed = <View extends HeldView>(views: readonly View[], excessBytes: number): readonly View[] => {
  const chosen: View[] = []
  let givenBytes = 0
  for (const view of [...views].sort(compare)) {
    if (givenBytes >= excessBytes) break
    if (view.heldBytes === 0) continue
    givenBytes += view.heldBytes
    chosen.push(view)
  }
  return chosen
}
