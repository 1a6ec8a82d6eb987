import { drawExponential, makeRandom } from '../makeRandom.js'

import type { ModelId } from '@figmount/base'
import type { Deployment, Item, Use } from './types.js'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const DAY_MS = 24 * HOUR_MS
const DAYS = 8
const WARM_UP_DAYS = 2

/** Number of models of each usage kind at a site. */
interface UsageMix {
  /** Used every few minutes during working hours. */
  readonly daily: number
  /** Used on a schedule, every half hour to every four hours, with a jitter of a few percent. */
  readonly scheduled: number
  /** Used at random, a few times a day. */
  readonly occasional: number
  /** Used once every few days. */
  readonly rare: number
}

interface Site {
  readonly name: string
  readonly seed: number
  readonly runnerCount: number
  readonly adapterCount: number
  readonly storeLoadsPerSecond: number
  readonly mix: UsageMix
}

type Kind = keyof UsageMix
const KINDS: readonly Kind[] = ['daily', 'scheduled', 'occasional', 'rare']

const RUNNER_MEMORY_MB = 80_000

const makeModels = (site: Site, kinds: readonly Kind[], random: () => number): readonly Item[] =>
  kinds.map((kind, index) => {
    const memoryMb = 12_000 + Math.round(random() * 24_000)
    return {
      model: `${site.name}/${kind}-${index}` as ModelId,
      adapter: '',
      runner: index % site.runnerCount,
      memoryMb,
      // Half a GB per second from the store, plus the start-up of the engine.
      loadMs: 4_000 + memoryMb * 2
    }
  })

const makeAdapters = (site: Site, models: readonly Item[], random: () => number): readonly Item[] =>
  Array.from({ length: site.adapterCount }, (_, index) => {
    const base = models[index % models.length]!
    return { model: base.model, adapter: `adapter-${index}`, runner: base.runner, memoryMb: 200 + Math.round(random() * 600), loadMs: 1_500 }
  })

const isWorkingTime = (atMs: number): boolean => {
  const hour = (atMs % DAY_MS) / HOUR_MS
  return hour >= 7 && hour < 18
}

const nextGap = (kind: Kind, meanMs: number, random: () => number): number =>
  kind === 'scheduled' ? meanMs * (0.97 + random() * 0.06) : drawExponential(meanMs, random)

const meanGap = (kind: Kind, random: () => number): number => {
  const draw = random()
  if (kind === 'daily') return MINUTE_MS * (3 + draw * 12)
  if (kind === 'scheduled') return HOUR_MS * (0.5 + draw * 3.5)
  if (kind === 'occasional') return HOUR_MS * (1.5 + draw * 8)
  return DAY_MS * (1 + draw * 2)
}

const usesOf = (kind: Kind, modelIndex: number, adapterIndices: readonly number[], random: () => number): readonly Use[] => {
  const meanMs = meanGap(kind, random)
  const uses: Use[] = []
  for (let atMs = random() * meanMs; atMs < DAYS * DAY_MS; atMs += nextGap(kind, meanMs, random)) {
    if (kind !== 'scheduled' && !isWorkingTime(atMs)) continue
    const adapterIndex = adapterIndices[Math.floor(random() * (adapterIndices.length + 1))]
    const use = { atMs, modelIndex, busyMs: MINUTE_MS * (0.3 + random()) }
    uses.push(adapterIndex === undefined ? use : { ...use, adapterIndex })
  }
  return uses
}

const makeDeployment = (site: Site): Deployment => {
  const random = makeRandom(site.seed)
  const kinds = KINDS.flatMap(kind => Array.from({ length: site.mix[kind] }, () => kind))
  const models = makeModels(site, kinds, random)
  const adapters = makeAdapters(site, models, random)
  const uses = kinds.flatMap((kind, index) => {
    const adapterIndices = adapters.flatMap((adapter, number) => adapter.model === models[index]!.model ? [number] : [])
    return usesOf(kind, index, adapterIndices, random)
  })
  return {
    name: site.name,
    runnerCount: site.runnerCount,
    runnerMemoryMb: RUNNER_MEMORY_MB,
    storeLoadsPerSecond: site.storeLoadsPerSecond,
    models,
    adapters,
    uses: [...uses].sort((a, b) => a.atMs - b.atMs),
    durationMs: DAYS * DAY_MS,
    measuredFromMs: WARM_UP_DAYS * DAY_MS
  }
}

/** A site of the consortium's size: 39 models and 80 adapters on 8 runners, two loads per second. */
export const consortium = (): Deployment => makeDeployment({
  name: 'consortium', seed: 101, runnerCount: 8, adapterCount: 80, storeLoadsPerSecond: 2, mix: { daily: 10, scheduled: 6, occasional: 15, rare: 8 }
})

/** A site of Carpatica's size: 38 models and 95 adapters on 13 runners, four loads per second. */
export const carpatica = (): Deployment => makeDeployment({
  name: 'carpatica', seed: 202, runnerCount: 13, adapterCount: 95, storeLoadsPerSecond: 4, mix: { daily: 8, scheduled: 12, occasional: 10, rare: 8 }
})
