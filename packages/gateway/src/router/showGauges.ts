import { unfinishedBytes } from '../streams/unfinishedBytes.js'

import type { Ingress } from '../ingress/startIngress.js'
import type { GatewayContext } from '../requests/types.js'

/** Shows a router's current counts among its metrics. */
export const showGauges = ({ metrics, partGuard, directory, bodyRoom }: GatewayContext, ingress: Ingress): void => {
  metrics.gauge('requests_open', ingress.openCount)
  metrics.gauge('unfinished_event_bytes', unfinishedBytes.count)
  metrics.gauge('body_bytes', bodyRoom.byteCount)
  metrics.gauge('deadly_parts', partGuard.foundCount)
  metrics.gauge('servers_known', () => directory.entries().length)
  metrics.gauge('servers_left', () => directory.leavings.all().length)
  metrics.gauge('servers_doubted', directory.missingEntries.count)
}
