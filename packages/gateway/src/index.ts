/** The router on the HTTP path: takes callers' requests and sends each to a backend server. */
export { startGateway } from './router/startGateway.js'
export type { GatewayOptions } from './router/startGateway.js'
export { GatewayEvent } from './events.js'
