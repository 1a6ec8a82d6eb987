import type { InstanceName } from '@figmount/base'

interface Options {
  readonly own: InstanceName
  readonly listed: () => readonly InstanceName[]
  readonly cannotPropose: (peer: InstanceName) => boolean
}

/**
 * Creates a function that returns the routers that take turns in making proposals. Routers that are
 * listed but cannot propose (crashed or disconnected from the log) are excluded; otherwise rights would
 * stay free during their turn, which lasts up to a minute.
 */
export const createProposerList = ({ own, listed, cannotPropose }: Options): (() => readonly InstanceName[]) => {
  let last: readonly InstanceName[] = [own]
  return () => {
    const next = [...new Set([...listed(), own])].filter(router => router === own || !cannotPropose(router))
    // Returns the same array while its members are unchanged, because the ranking of proposers is cached by array identity.
    const isSame = next.length === last.length && next.every((router, index) => router === last[index])
    if (!isSame) last = next
    return last
  }
}
