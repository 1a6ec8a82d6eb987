import { defineEvents } from '@figmount/base'

/** Events of the links between processes. */
export const PeerEvent = defineEvents({
  linkOpened: [4001, 'a connection to a peer is open'],
  linkClosed: [4002, 'a connection to a peer is closed, with the reason'],
  peerRefused: [4003, 'a peer did not prove the shared key and was turned away']
})
