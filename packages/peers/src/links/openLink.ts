import { EitherAsync } from 'purify-ts'
import { WebSocket } from 'ws'
import { faultFrom, makeProof } from '@figmount/base'

import { CONNECT_TIMEOUT_MS, INSTANCE_HEADER, MAX_MESSAGE_BYTES, PROOF_HEADER } from './constants.js'
import { PeerEvent } from './events.js'
import { wrapSocket } from './wrapSocket.js'

import type { Link, LinkContext, LinkFault } from './types.js'

const connect = async <Send, Receive>(address: string, context: LinkContext): Promise<Link<Send, Receive>> =>
  await new Promise((resolve, reject) => {
    const proof = makeProof(context.sharedKey, context.instance, context.timers.unixMs())
    const socket = new WebSocket(`ws://${address}/peer`, {
      headers: { [INSTANCE_HEADER]: context.instance, [PROOF_HEADER]: proof },
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false
    })
    // Guards against losing a first message that arrives together with the handshake response: the socket emits it before a
    // promise could settle, so the link has to listen already. A loss shows as a peer that never sends its state.
    socket.once('open', () => resolve(wrapSocket<Send, Receive>(socket, address, context)))
    socket.once('error', reject)
  })

/** Opens a link to a peer. A fault names the address. */
export const openLink = <Send, Receive>(address: string, context: LinkContext): EitherAsync<LinkFault, Link<Send, Receive>> =>
  EitherAsync(async () => await connect<Send, Receive>(address, context))
    .mapLeft(faultFrom('links.open', address))
    .ifRight(() => { context.events.emit(PeerEvent.linkOpened, { peer: address }) })
