/** A model that an engine is to load from the weight store once its agent has a lease. */
export interface ColdWant {
  readonly modelName: string
  /** Requests that wait for it or were refused without it; 0 when it is loaded ahead of demand. */
  readonly waitingCount: number
  /** Duration of the load without concurrent loads. */
  readonly coldLoadMs: number
}

/** A lease that another agent has for a load from the weight store. */
export interface LeaseView {
  readonly modelName: string
  /** Requests that waited for the model when it was taken. */
  readonly waitingCount: number
  /** Time since it was taken. */
  readonly ageMs: number
  /** Time until it expires. */
  readonly leftMs: number
}

/** What an agent knows when it decides whether to take a lease. */
export interface LeaseInputs {
  /** Loads that the agent's engine could begin, the most urgent first. */
  readonly wants: readonly ColdWant[]
  /** Leases of other agents. */
  readonly leases: readonly LeaseView[]
  /** Loads that the weight store carries at full speed. */
  readonly fullSpeedCount: number
  /** One load more may be tried, to see whether the store carries it. */
  readonly mayTryMore: boolean
  /** From 0 to 1, different for each agent: agents with equal needs do not attempt at the same instant. */
  readonly jitter: number
}

/** An agent's next step towards a lease. */
export type LeaseDecision =
  /** Takes a lease after `afterMs`, unless the leases change before. */
  | { readonly type: 'take', readonly want: ColdWant, readonly afterMs: number }
  /** Decides again after `forMs`, or when the leases change. */
  | { readonly type: 'wait', readonly forMs: number }

/** Longest delay before a lease is taken for a model that requests wait for, as a share of the load's duration. */
const MAX_DELAY_SHARE = 0.03

/** The delay falls by this part of the longest one each time the number of waiting requests doubles. */
const DELAY_STEP = 0.2

/** Largest difference between agents with equal needs, as a share of the longest delay. */
const JITTER_SHARE = 0.1

/** Delay before a lease is taken for a model that no request waits for, as a multiple of the longest delay of the others. */
const AHEAD_DELAY_RATIO = 3

/**
 * Age of the other loads, as a share of the load's duration, up to which one load more is tried beside them. Beside a load that ends soon
 * a trial would cost its callers more than to wait.
 */
const MAX_TRIAL_AGE_SHARE = 0.5

const delayOf = ({ waitingCount, coldLoadMs }: ColdWant, jitter: number): number => {
  const needShare = waitingCount === 0 ? AHEAD_DELAY_RATIO : Math.max(0, 1 - DELAY_STEP * Math.log2(waitingCount))
  return coldLoadMs * MAX_DELAY_SHARE * (needShare + jitter * JITTER_SHARE)
}

// A load that no request waits for is not tried beside one that requests wait for: it might slow that one down.
const mayTryBeside = (lease: LeaseView, { waitingCount, coldLoadMs }: ColdWant): boolean =>
  lease.ageMs < coldLoadMs * MAX_TRIAL_AGE_SHARE && (waitingCount > 0 || lease.waitingCount === 0)

const hasPlace = ({ leases, fullSpeedCount, mayTryMore }: LeaseInputs, want: ColdWant): boolean => {
  if (leases.length < fullSpeedCount) return true
  return mayTryMore && leases.length === fullSpeedCount && leases.every(lease => mayTryBeside(lease, want))
}

/**
 * Decides when an agent takes a lease for a load from the weight store.
 *
 * Load pattern: more models without a copy on any engine than the store can load in the time that callers wait. If whoever asks first is
 * served first, further copies of busy models keep out a model that no engine has. No agent knows the others' wants, so each one delays
 * its attempt by the less the more requests wait for its model. The platform's log accepts one attempt only; the others see the new lease.
 */
export const judgeLease = (inputs: LeaseInputs): LeaseDecision => {
  const { wants, leases } = inputs
  const want = wants.find(({ modelName }) => !leases.some(lease => lease.modelName === modelName))
  if (want && hasPlace(inputs, want)) return { type: 'take', want, afterMs: delayOf(want, inputs.jitter) }
  return { type: 'wait', forMs: Math.min(...leases.map(lease => lease.leftMs)) }
}
