import { createServer } from 'node:net'

import type { AddressInfo } from 'node:net'

/** A port of 127.0.0.1 on which nothing listens. */
export const freePort = async (): Promise<number> => {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}
