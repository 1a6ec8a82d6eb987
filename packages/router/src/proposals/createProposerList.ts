import type { InstanceName } from '@figmount/base'

interface Options {
  readonly own: InstanceName
  readonly listed: () => readonly InstanceName[]
  readonly cannotPropose: (peer: InstanceName) => boolean
}

/**
 * The routers among which the turn to propose is drawn.
 *
 * Guards against a router that is listed but cannot propose, dead or cut off from the log: rights
 * whose turn is its own would stay free until the turn passes on, up to a minute.
 */
export const createProposerList = ({ own, listed, cannotPropose }: Options): (() => readonly InstanceName[]) => {
  let last: readonly InstanceName[] = [own]
  return () => {
    const next = [...new Set([...listed(), own])].filter(router => router === own || !cannotPropose(router))
    // The same array while its members are the same: the ranking of proposers is kept by it.
    const isSame = next.length === last.length && next.every((router, index) => router === last[index])
    if (!isSame) last = next
    return last
  }
}
