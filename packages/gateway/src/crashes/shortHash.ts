import type { RequestIdentity } from '@figmount/fleet'

const SHORT_HASH_LENGTH = 8

/** Start of a request's content hash, long enough to find its other attempts in the logs of all routers. */
export const shortHash = ({ contentHash }: RequestIdentity): string => contentHash.slice(0, SHORT_HASH_LENGTH)
