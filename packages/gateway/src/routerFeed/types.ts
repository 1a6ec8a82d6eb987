import type { CrashNotice, ServerLeavingNotice, ServerLimitNotice } from '@figmount/fleet'

/** What a router tells all others. */
export type RouterNotice = CrashNotice | ServerLimitNotice | ServerLeavingNotice
