import { createServer } from 'node:http'
import { listenWhenFree } from '@figmount/base'

import type { ListenContext } from '@figmount/base'

const READY = 200
const NOT_READY = 503

/** Answers the balancer's readiness checks, on any path: whether new connections may be opened. */
export const serveReadiness = async (address: string, isReady: () => boolean, listening: ListenContext): Promise<() => void> => {
  const server = createServer((_message, response) => {
    response.writeHead(isReady() ? READY : NOT_READY, { 'content-length': 0 })
    response.end()
  })
  await listenWhenFree(server, address, listening)
  return () => {
    server.close()
    server.closeAllConnections()
  }
}
