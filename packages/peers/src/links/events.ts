import { defineEvents } from '@figmount/base'

/** Events of the links between processes. */
export const PeerEvent = defineEvents({
  linkOpened: [4001, 'a link to a peer was opened'],
  linkClosed: [4002, 'a link to a peer was closed, with the reason'],
  peerRefused: [4003, 'a peer without a valid proof of the shared key was rejected']
})
