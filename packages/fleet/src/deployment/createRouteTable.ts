import type { Route, RouteTable } from './types.js'

/** Host name of a `Host` header, without the port and in lower case. */
export const hostNameOf = (hostHeader: string): string => {
  const [name = ''] = hostHeader.split(':')
  return name.toLowerCase()
}

/**
 * Indexes routes by host and path prefix, so that a request costs the same however many routes there are. Each prefix ends with a slash. Of
 * two routes with the same host and prefix the first counts.
 */
export const createRouteTable = (routes: readonly Route[]): RouteTable => {
  const hosts = new Map<string, Map<string, Route>>()
  for (const route of routes) {
    const byPrefix = hosts.get(route.host) ?? new Map<string, Route>()
    hosts.set(route.host, byPrefix)
    if (!byPrefix.has(route.pathPrefix)) byPrefix.set(route.pathPrefix, route)
  }
  return {
    find: (hostHeader, url) => {
      const byPrefix = hosts.get(hostNameOf(hostHeader))
      if (!byPrefix) return undefined
      const [path = ''] = url.split('?')
      for (let slash = path.lastIndexOf('/'); slash >= 0; slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)) {
        const route = byPrefix.get(path.slice(0, slash + 1))
        if (route) return route
      }
      return undefined
    }
  }
}
