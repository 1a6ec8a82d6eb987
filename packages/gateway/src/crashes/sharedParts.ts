import type { CallerRequest } from '@figmount/fleet'

/** Parts of a request's prompt that are looked at, and the longest id of one. Requests have a few parts, ids 8 to 16 characters. */
const MAX_PARTS = 32
const MAX_PART_ID_LENGTH = 64

/** Ids of the parts that a request's prompt has in common with others: the last part is its own, or its session's. */
export const sharedParts = ({ promptParts }: CallerRequest): readonly string[] =>
  promptParts
    .slice(0, -1)
    .slice(0, MAX_PARTS)
    .map(({ partId }) => partId.slice(0, MAX_PART_ID_LENGTH))
