/**
 * Records that a router proposes in one round. Grounds: a fleet start of 1,200 models and some
 * 15,000 rights spread over 350 routers is a few rounds for each, and one append call a round.
 */
export const PROPOSAL_BATCH = 200

/**
 * Best-ranked agents among which the one with the least memory promised gets a slot. Grounds: on a
 * site of a dozen runners it looks at all of a service, so that slots are even; on a fleet eight
 * choices leave hardly more unevenness than all would, and proposers that decide alike at the same
 * moment still differ by model.
 */
export const RANKED_CHOICES = 8

/** Slots of one service that one round moves: few, since each may cost a load. */
export const MOVE_BATCH = 4

/**
 * A move must leave the receiver less pressed than the donor was by this share of a capacity.
 * Grounds: half of the smallest common model on a runner that holds four; less would move slots
 * to and fro for nothing.
 */
export const MOVE_MIN_GAIN = 0.1

/** An instance must be off the list for this long, on the proposer's clock, before it is void. */
export const LIST_ABSENT_MS = 30_000

/**
 * Longest time between two reads of the list over which an absence is taken to have lasted.
 * Grounds: an instance that came back and went again in between would otherwise count as gone throughout.
 */
export const LIST_GAP_MS = 10_000

/** Voids proposed in one round: a rack at once, a data centre in a few rounds. */
export const VOID_BATCH = 100

/**
 * Time after which the turn to propose for a target passes to the next router. Grounds: above the
 * rounds of proposals (0.5 s), looks at absent engines (2 s) and checks of snapshots (5 s), so that each has
 * its chance within a turn, and short beside the 30 s after which an instance counts as gone.
 */
export const PROPOSER_TURN_MS = 8_000

/** Best-ranked routers among which the turn passes. Grounds: a whole data centre may be cut off from the log. */
export const PROPOSER_COUNT = 8
