import { IN_STEP_MS } from './constants.js'

import type { LoneVersion } from '../directory/createSoftwareVersions.js'
import type { FoundOrigin } from './createStreamOrigins.js'

/** Routers see a version come at different times, and their clocks' readings of a read's start differ. */
const SLACK_MS = 3_000

/** A list older than this may lack a version that came and began streams alone. */
const MAX_AGE_MS = 100_000

/** What a router knows as it judges at which version a stream goes on. */
export interface TakeUpKnowledge {
  /** What agents, or the router itself, know of the stream; undefined if its caller has not named it. */
  readonly found: FoundOrigin | undefined
  /** The versions of the service that the router lists, or has listed of late. */
  readonly versions: ReadonlySet<string>
  /** The router knew of several versions as it asked for the origin: it asked those that were told. */
  readonly wereSeveral: boolean
  /** The router knows which versions served before it started. */
  readonly knowsVersions: boolean
  readonly lone: LoneVersion | undefined
  /** Time since the list was read, which is Infinity before the first read. */
  readonly listAgeMs: number
  /** The process has stood still since then. */
  readonly hasStoodStill: boolean
  /** Time since the list was last read before the router was out of step; Infinity if it was not of late. */
  readonly outOfStepAgoMs: number
  /** The list was read after the request had arrived; undefined if that was not tried. */
  readonly isListFresh: boolean | undefined
}

/** The judgement on a stream that its caller takes up. */
export type TakeUp =
  | { readonly type: 'goesOn', readonly softwareVersion: string, readonly reason: string }
  | { readonly type: 'refused', readonly reason: string }
  /** To be judged again once the list was read after the request had arrived, or that has failed. */
  | { readonly type: 'listNeeded' }

/** Nobody was told of the stream, in a time in which its router would have told if it had known of several versions. */
const isFromOneVersion = ({ found, listAgeMs }: TakeUpKnowledge): boolean =>
  found?.type === 'unknown' && listAgeMs <= MAX_AGE_MS && found.rememberedForMs >= listAgeMs + SLACK_MS

/** Streams that began elsewhere while the router was out of step were told to the agents that answered; or it was not out of step of late. */
const isAccountedFor = ({ found, outOfStepAgoMs }: TakeUpKnowledge): boolean =>
  outOfStepAgoMs === Infinity || (found?.type === 'unknown' && found.rememberedForMs >= outOfStepAgoMs + SLACK_MS)

/**
 * Judges at which software version a stream goes on.
 *
 * Guards against a list that is older than the stream: a router that stood still or was cut off would take the one version that it lists
 * for the only one.
 */
export const judgeTakeUp = (knowledge: TakeUpKnowledge): TakeUp => {
  const { found, versions, wereSeveral, knowsVersions, lone, listAgeMs, hasStoodStill, isListFresh } = knowledge
  const canRead = isListFresh === undefined
  if (found?.type === 'known') {
    // Its servers may have come since the list was read.
    if (canRead && !versions.has(found.softwareVersion)) return { type: 'listNeeded' }
    return { type: 'goesOn', softwareVersion: found.softwareVersion, reason: 'its origin is known' }
  }
  // An empty memory is no fact: a router that has just started does not know what has gone before.
  if (!knowsVersions) return { type: 'refused', reason: 'the versions of late are not known yet' }
  const [only] = versions
  if (only === undefined) return { type: 'refused', reason: 'no version is known' }
  if (versions.size > 1) {
    // Streams that began beside several versions are told to agents. One that nobody was told of began before.
    if (wereSeveral && found && lone && found.rememberedForMs >= lone.othersForMs) return { type: 'goesOn', softwareVersion: lone.softwareVersion, reason: 'it began before other versions came' }
    return { type: 'refused', reason: 'nobody knows its origin' }
  }
  const goesOn = { type: 'goesOn', softwareVersion: only, reason: 'one version is known' } as const
  // A fresh list shows what serves now, not what has served meanwhile.
  if (!canRead && !isAccountedFor(knowledge)) return { type: 'refused', reason: 'nobody knows its origin, and the router was out of step' }
  if (isListFresh) return goesOn
  const isTrusted = !hasStoodStill && isFromOneVersion(knowledge) && isAccountedFor(knowledge)
  if (isTrusted && (!canRead || listAgeMs <= IN_STEP_MS)) return goesOn
  return canRead ? { type: 'listNeeded' } : { type: 'refused', reason: 'nobody knows its origin, and the list is old' }
}
