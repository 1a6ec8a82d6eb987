const SHORT_HASH_LENGTH = 8

/** Start of a request's hash, long enough to find the request's other attempts in the logs of all routers. */
export const shortHash = (requestHash: string): string => requestHash.slice(0, SHORT_HASH_LENGTH)
