import { MS_PER_SECOND } from './constants.js'
import { sampleIndices } from './sampleIndices.js'

import type { RoutingCandidate } from './types.js'

/** The least loaded members of a group of backend servers, such as a data centre. */
export interface GroupDigest {
  readonly group: string
  readonly members: readonly RoutingCandidate[]
}

/**
 * Maximum number of members in a digest. With one, the group's minimum, every router would send to the same server until the
 * next digest. With eight, two random choices spread the requests.
 */
const MAX_DIGEST_MEMBERS = 8
/** Number of other groups that a choice considers. */
const GROUP_SAMPLE_COUNT = 2

const waitMs = (candidate: RoutingCandidate): number =>
  candidate.readyInMs + (candidate.queuedSeconds + candidate.unreportedSeconds) * MS_PER_SECOND

/** Inserts a candidate in order of its wait and drops the last one above the maximum. */
const insertByWait = (members: RoutingCandidate[], candidate: RoutingCandidate): void => {
  let index = members.length
  while (index > 0 && waitMs(members[index - 1]!) > waitMs(candidate)) index -= 1
  if (index >= MAX_DIGEST_MEMBERS) return
  members.splice(index, 0, candidate)
  if (members.length > MAX_DIGEST_MEMBERS) members.pop()
}

/** Reduces a group to its least loaded members; done once per digest, not per decision. */
export const digestGroup = (group: string, candidates: readonly RoutingCandidate[]): GroupDigest => {
  const members: RoutingCandidate[] = []
  for (const candidate of candidates) insertByWait(members, candidate)
  return { group, members }
}

/**
 * Candidates for one choice: the members of the own data centre's digest and of a few random other groups. Their number
 * is bounded, so that a decision costs the same with ten backend servers as with thousands.
 *
 * The aggregation follows the paper on stateless CPU-aware load balancing, where a group is represented by its minimum,
 * except that a digest carries several members.
 */
export const candidatesFromDigests = (digests: readonly GroupDigest[], ownGroup: string, random: () => number): readonly RoutingCandidate[] => {
  const own = digests.find(digest => digest.group === ownGroup)
  const others = digests.filter(digest => digest.group !== ownGroup)
  const drawn = sampleIndices(others.length, GROUP_SAMPLE_COUNT, random).flatMap(index => others[index]?.members ?? [])
  return [...own?.members ?? [], ...drawn]
}
