/** Messages and links between figmount's own processes. */
export type * from './messages/types.js'
export type * from './links/types.js'
export * from './links/constants.js'
export { acceptLinks } from './links/acceptLinks.js'
export { createInbox } from './links/createInbox.js'
export { PeerEvent } from './links/events.js'
export { openLink } from './links/openLink.js'
export { NO_OFFSET } from './links/wrapSocket.js'
