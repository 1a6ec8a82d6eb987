/**
 * Bytes that are held for callers at once. Of the 350 MB of a router's machine, its heap may take 160 and the process itself 60; what is
 * held may for a short time be there twice, as it was read and as it is sent.
 */
export const HELD_BYTES = 64 * 1024 * 1024

/** An answer up to this length needs no room: the number of connections bounds how many there are. */
export const FREE_BYTES = 16 * 1024

/** Memory for callers' bodies at once; beyond it a body that is not short is refused as it grows. */
export const BODY_BYTES = 64 * 1024 * 1024

/** A body up to this length needs no room: the number of connections bounds how many there are. */
export const FREE_BODY_BYTES = 32 * 1024

export const STALL_CHECK_PERIOD_MS = 250
