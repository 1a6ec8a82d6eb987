import { createHttpListener, listenWhenFree } from '@figmount/base'

import type { ServeContext } from '@figmount/base'

const READY = 200
const NOT_READY = 503

/** Answers the balancer's readiness checks, on any path: whether new connections may be opened. */
export const serveReadiness = async (address: string, isReady: () => boolean, context: ServeContext): Promise<() => void> => {
  const { server } = createHttpListener({
    ...context,
    handle: (_message, response) => { response.writeHead(isReady() ? READY : NOT_READY, { 'content-length': 0 }).end() }
  })
  await listenWhenFree(server, address, context)
  return () => {
    server.close()
    server.closeAllConnections()
  }
}
