import type { Route } from './types.js'

/** Host name of a `Host` header, without the port and in lower case. */
export const hostNameOf = (hostHeader: string): string => {
  const [name = ''] = hostHeader.split(':')
  return name.toLowerCase()
}

/** Finds the host's route with the longest matching path prefix. The query is ignored. */
export const matchRoute = (routes: readonly Route[], hostHeader: string, url: string): Route | undefined => {
  const host = hostNameOf(hostHeader)
  const [path = ''] = url.split('?')
  let best: Route | undefined
  for (const route of routes) {
    if (route.host !== host) continue
    if (!path.startsWith(route.pathPrefix)) continue
    if (best && best.pathPrefix.length >= route.pathPrefix.length) continue
    best = route
  }
  return best
}
