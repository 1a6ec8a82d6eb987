import { EitherAsync } from 'purify-ts'
import { WebSocket } from 'ws'
import { faultFrom, makeProof } from '@figmount/base'

import { CONNECT_TIMEOUT_MS, INSTANCE_HEADER, MAX_MESSAGE_BYTES, PROOF_HEADER } from './constants.js'
import { PeerEvent } from './events.js'
import { wrapSocket } from './wrapSocket.js'

import type { Link, LinkContext, LinkFault } from './types.js'

const connect = async (address: string, context: LinkContext): Promise<WebSocket> =>
  await new Promise((resolve, reject) => {
    const proof = makeProof(context.sharedKey, context.instance, context.timers.unixMs())
    const socket = new WebSocket(`ws://${address}/peer`, {
      headers: { [INSTANCE_HEADER]: context.instance, [PROOF_HEADER]: proof },
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false
    })
    socket.once('open', () => resolve(socket))
    socket.once('error', reject)
  })

/** Dials a peer. The fault names the address. */
export const openLink = <Send, Receive>(address: string, context: LinkContext): EitherAsync<LinkFault, Link<Send, Receive>> =>
  EitherAsync(async () => await connect(address, context))
    .mapLeft(faultFrom('links.open', address))
    .map(socket => {
      context.events.emit(PeerEvent.linkOpened, { peer: address })
      return wrapSocket<Send, Receive>(socket, address, context)
    })
