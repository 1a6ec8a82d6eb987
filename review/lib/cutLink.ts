import { connect, createServer } from 'node:net'

import type { AddressInfo, Socket } from 'node:net'

/** A link to one address that can be cut: nothing passes then in either direction, and no connection is closed. */
export interface CutLink {
  readonly address: string
  readonly setCut: (isCut: boolean) => void
  readonly close: () => void
}

/** Forwards connections from a loopback address to another one. */
export const startCutLink = async (host: string, port: number, target: string): Promise<CutLink> => {
  const [targetHost = '', targetPort = ''] = target.split(':')
  const sockets = new Set<Socket>()
  let isCut = false

  const pass = (from: Socket, to: Socket): void => {
    sockets.add(from)
    from.on('data', chunk => { to.write(chunk) })
    from.on('end', () => to.end())
    from.on('error', () => to.destroy())
    from.on('close', () => {
      sockets.delete(from)
      to.destroy()
    })
    if (isCut) from.pause()
  }

  const server = createServer(socket => {
    const upstream = connect(Number(targetPort), targetHost)
    pass(socket, upstream)
    pass(upstream, socket)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    setCut: next => {
      isCut = next
      for (const socket of sockets) next ? socket.pause() : socket.resume()
    },
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
