/** The router process: RPC services for callers and operators, choice of backend servers, retries, and proposals of records. */
export { RouterEvent } from './events.js'
export { readPlatformList } from './membership/pollInstances.js'
export type { ReadInstances } from './membership/pollInstances.js'
export type { ListedInstance } from './membership/types.js'
export { startRouter } from './router/startRouter.js'
export type { RouterParts } from './router/types.js'
export { routerSettings } from './settings/routerSettings.js'
export type { RouterSettings } from './settings/types.js'
