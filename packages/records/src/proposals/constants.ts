/**
 * Maximum number of records that a router proposes in one round. When a fleet starts with 1,200 models and
 * some 15,000 rights spread over 350 routers, each router needs only a few rounds with one append call each.
 */
export const MAX_PROPOSALS_PER_ROUND = 200

/**
 * Number of top-ranked agents from which the one with the least promised memory gets a slot. On a
 * site of a dozen runners this covers all agents of a service, so slots spread evenly. On a fleet, eight
 * candidates balance nearly as well as all agents would, and proposers that decide at the same moment
 * still pick different agents for different models.
 */
export const RANKED_CANDIDATE_COUNT = 8

/** Maximum number of slots of one service moved in one round; low because each move may cost a model load. */
export const MAX_MOVES_PER_ROUND = 4

/**
 * Minimum difference between the donor's memory pressure before a move and the receiver's after it, as a
 * share of a capacity. It is half of the smallest common model on a runner that holds four; a lower
 * value would move slots back and forth without benefit.
 */
export const MIN_MOVE_GAIN = 0.1

/** How long an instance must be absent from the list, by the proposer's clock, before a void is proposed. */
export const MIN_LIST_ABSENCE_MS = 30_000

/**
 * Longest time between two reads of the list over which an absence counts as continuous. Without
 * this limit, an instance that returned and left again between two reads would count as absent throughout.
 */
export const MAX_LIST_READ_GAP_MS = 10_000

/** Maximum number of voids proposed in one round: enough for a rack; a data centre takes a few rounds. */
export const MAX_VOIDS_PER_ROUND = 100

/**
 * Time after which the turn to propose for a target passes to the next router. It exceeds the intervals
 * of proposal rounds (0.5 s), checks of absent engines (2 s) and snapshot checks (5 s), so that each runs
 * within a turn, and it is short compared with the 30 s after which an instance counts as gone.
 */
export const PROPOSER_TURN_MS = 8_000

/** Number of top-ranked routers that take turns for one target. Several are needed: a whole data centre may be cut off from the log. */
export const PROPOSERS_PER_TARGET = 8
