/** The agreed state of the system: typed records of the platform's log, their fold, and the client that follows it. */
export type * from './agents/types.js'
export * from './config/types.js'
export type * from './fold/types.js'
export type * from './log/types.js'
export * from './rights/constants.js'
export type * from './rights/types.js'
export type * from './suspects/types.js'
