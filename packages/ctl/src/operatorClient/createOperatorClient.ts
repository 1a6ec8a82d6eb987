import { createClient } from '@connectrpc/connect'
import { EitherAsync } from 'purify-ts'
import { createTransport, FaultKind, faultFrom, makeFault } from '@figmount/base'
import { Operator } from '@figmount/schema'

import type { Client } from '@connectrpc/connect'
import type { Fault } from '@figmount/base'

type OperatorRpc = Client<typeof Operator>

/** Calls the operators' RPC interface of the routers. */
export interface OperatorClient {
  readonly call: <T>(step: string, run: (rpc: OperatorRpc) => Promise<T>) => EitherAsync<Fault, T>
  /** Calls every router, for data that each has only of its own requests; fails if none responds. */
  readonly callEach: <T>(step: string, run: (rpc: OperatorRpc) => Promise<T>) => EitherAsync<Fault, readonly T[]>
}

/** Creates a client for routers at host:port addresses. `call` tries the next router only if one is unavailable; other faults are final. */
export const createOperatorClient = (addresses: readonly string[], key: string): OperatorClient => {
  const routers = addresses.map(address => ({
    address,
    rpc: createClient(Operator, createTransport({ address, bearerKey: key }))
  }))

  const call = <T>(step: string, run: (rpc: OperatorRpc) => Promise<T>): EitherAsync<Fault, T> =>
    EitherAsync<Fault, T>(async ({ throwE }) => {
      let lastFault = makeFault(FaultKind.Invalid, step, '', 'no router address is configured')
      for (const { address, rpc } of routers) {
        try {
          return await run(rpc)
        } catch (error) {
          lastFault = faultFrom(step, address)(error)
          if (lastFault.kind !== FaultKind.Unavailable) return throwE(lastFault)
        }
      }
      return throwE(lastFault)
    })

  const callEach = <T>(step: string, run: (rpc: OperatorRpc) => Promise<T>): EitherAsync<Fault, readonly T[]> =>
    EitherAsync<Fault, readonly T[]>(async ({ throwE }) => {
      const responses: T[] = []
      let lastFault = makeFault(FaultKind.Invalid, step, '', 'no router address is configured')
      for (const { address, rpc } of routers) {
        const response = await EitherAsync(async () => await run(rpc)).mapLeft(faultFrom(step, address)).run()
        response.caseOf({ Left: fault => { lastFault = fault }, Right: value => { responses.push(value) } })
      }
      return responses.length > 0 ? responses : throwE(lastFault)
    })

  return { call, callEach }
}
