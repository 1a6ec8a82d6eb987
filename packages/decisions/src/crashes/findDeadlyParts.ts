/** The latest run with a part on a server that died. */
export interface PartRunView {
  readonly sentMs: number
  /** Key of the latest start that had died with the part before the run was sent, as the run's router saw it; undefined if none is known. */
  readonly sentAfter: string | undefined
}

/** The death of a server and the parts of the prompts that ran on it. */
export interface PartDeathView {
  readonly startKey: string
  readonly atMs: number
  readonly runs: ReadonlyMap<string, PartRunView>
}

/** What a router knows about parts of prompts. */
export interface PartsView {
  readonly deaths: readonly PartDeathView[]
  /** By part: time at which the latest run with it was sent that a server has written on for a while without dying. */
  readonly provenMs: ReadonlyMap<string, number>
}

/** Parts of prompts of which one is the cause of deaths: a single one if it is known which. */
export interface DeadlyParts {
  readonly partIds: readonly string[]
  /** Deaths with these parts, each under a run that was sent after the one before. */
  readonly deathCount: number
  readonly lastDeathMs: number
  /** Servers had written on each of the parts before the deaths. */
  readonly wereProven: boolean
}

/** A part with the deaths that no other part explains and no later run disproves, in order of time. */
interface Suspect {
  readonly partId: string
  readonly deaths: readonly PartDeathView[]
  readonly deathCount: number
  readonly wasProven: boolean
}

/** Deaths under a part after which it counts as a possible cause: one hits all that ran on the server. */
const MIN_DEATHS = 2

/** Other routers report times late, each report by another delay: what the run's router saw goes before a comparison of times. */
const isInTurn = (partId: string, before: PartDeathView, after: PartDeathView): boolean => {
  const run = after.runs.get(partId)
  return run !== undefined && (run.sentAfter === before.startKey || run.sentMs > before.atMs)
}

/**
 * Counts the deaths under a part one after the other: a run must have been sent after the death before.
 *
 * Guards against blaming a part that many prompts share when several servers die at the same moment for another reason.
 */
const countInTurn = (partId: string, deaths: readonly PartDeathView[]): number => {
  const counts = new Map<PartDeathView, number>()

  const countUpTo = (death: PartDeathView): number => {
    const known = counts.get(death)
    if (known !== undefined) return known
    // Ends the search if reports contradict each other.
    counts.set(death, 1)
    let count = 1
    for (const before of deaths) {
      if (before !== death && isInTurn(partId, before, death)) count = Math.max(count, countUpTo(before) + 1)
    }
    counts.set(death, count)
    return count
  }

  return Math.max(0, ...deaths.map(countUpTo))
}

const findSuspects = (deaths: readonly PartDeathView[], provenMs: ReadonlyMap<string, number>): readonly Suspect[] => {
  const deathsOf = new Map<string, PartDeathView[]>()
  for (const death of deaths) {
    for (const partId of death.runs.keys()) {
      if (death.atMs < (provenMs.get(partId) ?? -Infinity)) continue
      const known = deathsOf.get(partId) ?? []
      known.push(death)
      deathsOf.set(partId, known)
    }
  }
  const suspects: Suspect[] = []
  for (const [partId, known] of deathsOf) {
    const deathCount = countInTurn(partId, known)
    if (deathCount >= MIN_DEATHS) suspects.push({ partId, deaths: known, deathCount, wasProven: provenMs.has(partId) })
  }
  return suspects
}

/** The likeliest cause: one that servers have never written on goes first, then one with more deaths. */
const chooseLikeliest = (suspects: readonly Suspect[]): Suspect | undefined => {
  let best: Suspect | undefined
  for (const suspect of suspects) {
    const isLikelier = !best || (suspect.wasProven === best.wasProven ? suspect.deaths.length > best.deaths.length : best.wasProven)
    if (isLikelier) best = suspect
  }
  return best
}

const hasAllDeathsOf = (suspect: Suspect, other: Suspect): boolean => {
  const own = new Set(suspect.deaths)
  return other.deaths.every(death => own.has(death))
}

/**
 * Finds the parts of prompts of which servers die.
 *
 * A death hits all that ran on the server, so a part is a possible cause after two deaths in turn, unless a server has written on it since.
 * Deaths that one part explains do not count against the others. Parts that have the same deaths are found together: either may be the cause.
 */
export const findDeadlyParts = ({ deaths, provenMs }: PartsView): readonly DeadlyParts[] => {
  const found: DeadlyParts[] = []
  let unexplained = [...deaths].sort((a, b) => a.atMs - b.atMs)
  for (;;) {
    const suspects = findSuspects(unexplained, provenMs)
    const cause = chooseLikeliest(suspects)
    if (!cause) return found
    const tied = suspects.filter(suspect => suspect.wasProven === cause.wasProven && hasAllDeathsOf(suspect, cause))
    found.push({
      partIds: tied.map(({ partId }) => partId).sort(),
      deathCount: cause.deathCount,
      lastDeathMs: Math.max(...cause.deaths.map(({ atMs }) => atMs)),
      wereProven: cause.wasProven
    })
    const explained = new Set(cause.deaths)
    unexplained = unexplained.filter(death => !explained.has(death))
  }
}
