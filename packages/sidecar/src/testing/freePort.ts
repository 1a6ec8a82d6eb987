import { createServer } from 'node:net'

import type { AddressInfo } from 'node:net'

/** Returns a port of 127.0.0.1 on which no process listens. */
export const freePort = async (): Promise<number> => {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}
