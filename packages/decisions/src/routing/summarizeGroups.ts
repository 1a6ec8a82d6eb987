import { MS_PER_SECOND } from './constants.js'
import { sampleIndices } from './sampleIndices.js'

import type { RoutingCandidate } from './types.js'

/** The least loaded members of a group of backend servers, such as a data centre, as its digest carries them. */
export interface GroupDigest {
  readonly group: string
  readonly members: readonly RoutingCandidate[]
}

/**
 * Members that a digest carries. One, the group's minimum, would send every router to the same server until the next
 * digest; with eight, two random choices spread them.
 */
const DIGEST_MEMBERS = 8
/** Groups that a choice compares. */
const GROUP_SAMPLE = 2

const waitMs = (candidate: RoutingCandidate): number =>
  candidate.readyInMs + (candidate.queuedSeconds + candidate.unreportedSeconds) * MS_PER_SECOND

/** Puts a candidate where its wait belongs and drops what is over the bound. */
const insertByWait = (members: RoutingCandidate[], candidate: RoutingCandidate): void => {
  let index = members.length
  while (index > 0 && waitMs(members[index - 1]!) > waitMs(candidate)) index -= 1
  if (index >= DIGEST_MEMBERS) return
  members.splice(index, 0, candidate)
  if (members.length > DIGEST_MEMBERS) members.pop()
}

/** Keeps the least loaded members of a group; done once for each digest, not for each decision. */
export const digestGroup = (group: string, candidates: readonly RoutingCandidate[]): GroupDigest => {
  const members: RoutingCandidate[] = []
  for (const candidate of candidates) insertByWait(members, candidate)
  return { group, members }
}

/**
 * Candidates for one choice out of digests: those of the own data centre and of a few random other groups. The number
 * is bounded, so that a decision costs the same at ten backend servers and at thousands.
 *
 * The aggregation follows the paper on stateless CPU-aware balancing (the minimum of a group stands for the group),
 * but for carrying several members in place of the one.
 */
export const candidatesFromDigests = (digests: readonly GroupDigest[], ownGroup: string, random: () => number): readonly RoutingCandidate[] => {
  const own = digests.find(digest => digest.group === ownGroup)
  const others = digests.filter(digest => digest.group !== ownGroup)
  const drawn = sampleIndices(others.length, GROUP_SAMPLE, random).flatMap(index => others[index]?.members ?? [])
  return [...own?.members ?? [], ...drawn]
}
