/** One of those for whom bytes are held. */
export interface HolderView {
  readonly bytes: number
  /** Time since the last byte of its answer was received or taken. */
  readonly stalledMs: number
}

/**
 * Time without a byte after which a holder may lose its room to one that waits. A slow connection takes bytes in steps, as the system accepts
 * more only once a good part of its own buffer is empty.
 */
export const STALL_MS = 2_000

/**
 * Chooses whose bytes are given up so that `neededBytes` more become free: of those that have stalled, the longest first, and no more than are
 * needed.
 */
export const chooseStalled = <T extends HolderView>(holders: readonly T[], neededBytes: number): readonly T[] => {
  const chosen: T[] = []
  let freedBytes = 0
  for (const holder of holders.filter(({ stalledMs }) => stalledMs >= STALL_MS).sort((a, b) => b.stalledMs - a.stalledMs)) {
    if (freedBytes >= neededBytes) break
    chosen.push(holder)
    freedBytes += holder.bytes
  }
  return chosen
}
