import type { KnownServer } from '../directory/types.js'
import type { GatewayContext } from '../requests/types.js'

/** The servers that may load a model: a copy on an engine that takes few requests helps few callers, so it is none if there are others. */
export const preferUnlimited = (
  { serverLimits }: Pick<GatewayContext, 'serverLimits'>, servers: readonly KnownServer[]
): readonly KnownServer[] => {
  const unlimited = servers.filter(({ start }) => !serverLimits.isLimited(start))
  return unlimited.length > 0 ? unlimited : servers
}
