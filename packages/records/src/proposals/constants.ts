/**
 * Records that a router proposes in one round. Grounds: a fleet start of 1,200 models and some
 * 15,000 rights spread over 350 routers is a few rounds for each, and one append call a round.
 */
export const PROPOSAL_BATCH = 200

/** Best-ranked agents among which the one with the least memory promised gets a slot. */
export const RANKED_CHOICES = 3

/** An instance must be off the list for this long, on the proposer's clock, before it is void. */
export const LIST_ABSENT_MS = 30_000

/**
 * Longest time between two reads of the list over which an absence is taken to have lasted.
 * Grounds: an instance that came back and went again in between would otherwise count as gone throughout.
 */
export const LIST_GAP_MS = 10_000

/**
 * How long a holder that can't read the log may go on loading after the sending of its last read
 * of the list that named it. Grounds: a void needs LIST_ABSENT_MS of absence, and a grant after it
 * VOID_WAIT_MS more; half of the former leaves room for lists that lag behind one another by 20 s.
 */
export const LIST_SIGHT_MS = 15_000

/** Voids proposed in one round: a rack at once, a data centre in a few rounds. */
export const VOID_BATCH = 100

/**
 * Time after which the turn to propose for a target passes to the next router. Grounds: above the
 * rounds of proposals (0.5 s), looks at absent engines (2 s) and checks of snapshots (5 s), so that each has
 * its chance within a turn, and short beside the 30 s after which an instance counts as gone.
 */
export const PROPOSER_TURN_MS = 8_000
