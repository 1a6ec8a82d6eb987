import { hash64, rankByRendezvous } from '@figmount/base'

import { NEIGHBOUR_COUNT } from './constants.js'

import type { InstanceName } from '@figmount/base'

const ringSuccessor = (own: InstanceName, others: readonly InstanceName[]): InstanceName | undefined => {
  const ring = [own, ...others].sort((a, b) => hash64(a) < hash64(b) ? -1 : 1)
  const successor = ring[(ring.indexOf(own) + 1) % ring.length]
  return successor === own ? undefined : successor
}

/** Picks the routers that `own` dials: its successor on the ring of name hashes, then others by rendezvous hashing. */
export const pickNeighbours = (own: InstanceName, routers: readonly InstanceName[], count = NEIGHBOUR_COUNT): readonly InstanceName[] => {
  const others = routers.filter(name => name !== own)
  const successor = ringSuccessor(own, others)
  if (!successor) return []
  const rest = rankByRendezvous(own, others.filter(name => name !== successor))
  return [successor, ...rest.slice(0, count - 1)]
}
