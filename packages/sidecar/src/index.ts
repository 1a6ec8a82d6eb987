/** The agent on the HTTP path: the only process that sends orders to the engine beside it. */
export { startSidecar } from './sidecar/startSidecar.js'
export type { SidecarOptions } from './sidecar/startSidecar.js'
export { SidecarEvent } from './events.js'
