import { onceClosed } from '../ingress/onceClosed.js'

import type { GatewayContext, RoutedRequest } from '../requests/types.js'
import type { Hold } from './createHeldBytes.js'

/** Reserves room for a request's answer; it is given back at the latest when the request is over. */
export const holdForCaller = ({ heldBytes }: GatewayContext, { response }: RoutedRequest, bytes: number, granted: () => void): Hold => {
  const hold = heldBytes.reserve(bytes, granted)
  if (response.req.socket.destroyed) hold.release()
  else onceClosed(response.req, response, hold.release)
  return hold
}
