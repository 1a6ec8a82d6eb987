import { createClient } from '@connectrpc/connect'
import { EitherAsync } from 'purify-ts'
import { createTransport, FaultKind, faultFrom, makeFault } from '@figmount/base'
import { Operator } from '@figmount/schema'

import type { Client } from '@connectrpc/connect'
import type { Fault } from '@figmount/base'

type OperatorRpc = Client<typeof Operator>

/** Calls the operators' interface at the first router that answers. */
export interface OperatorClient {
  readonly call: <T>(step: string, run: (rpc: OperatorRpc) => Promise<T>) => EitherAsync<Fault, T>
  /** Asks every router, for what each remembers only of its own; fails when none answers. */
  readonly callEach: <T>(step: string, run: (rpc: OperatorRpc) => Promise<T>) => EitherAsync<Fault, readonly T[]>
}

/** Makes a client for a list of routers, each as host:port. A refusal is final; only an unreachable router is passed over. */
export const createOperatorClient = (addresses: readonly string[], key: string): OperatorClient => {
  const peers = addresses.map(address => ({
    address,
    rpc: createClient(Operator, createTransport({ address, bearerKey: key }))
  }))

  const call = <T>(step: string, run: (rpc: OperatorRpc) => Promise<T>): EitherAsync<Fault, T> =>
    EitherAsync<Fault, T>(async ({ throwE }) => {
      let last = makeFault(FaultKind.Invalid, step, '', 'no router address is set')
      for (const { address, rpc } of peers) {
        try {
          return await run(rpc)
        } catch (error) {
          last = faultFrom(step, address)(error)
          if (last.kind !== FaultKind.Unavailable) return throwE(last)
        }
      }
      return throwE(last)
    })

  const callEach = <T>(step: string, run: (rpc: OperatorRpc) => Promise<T>): EitherAsync<Fault, readonly T[]> =>
    EitherAsync<Fault, readonly T[]>(async ({ throwE }) => {
      const answers: T[] = []
      let last = makeFault(FaultKind.Invalid, step, '', 'no router address is set')
      for (const { address, rpc } of peers) {
        const answer = await EitherAsync(async () => await run(rpc)).mapLeft(faultFrom(step, address)).run()
        answer.caseOf({ Left: fault => { last = fault }, Right: value => { answers.push(value) } })
      }
      return answers.length > 0 ? answers : throwE(last)
    })

  return { call, callEach }
}
