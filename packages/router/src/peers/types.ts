import type { InstanceName, LogOffset } from '@figmount/base'
import type { BetweenRouters, FromAgent, ToAgent } from '@figmount/peers'

/** Messages that routers and agents send to each other alike. */
export type GossipMessage =
  Extract<ToAgent, { readonly type: 'records' | 'records.ask' | 'suspect' }>

/** Messages about records, suspicions and leaving, from an agent or another router. */
export type SharedMessage =
  | Extract<FromAgent, { readonly type: 'records' | 'records.ask' | 'suspect' | 'leaving' }>
  | Extract<BetweenRouters, { readonly type: 'records' | 'records.ask' | 'suspect' | 'leaving' }>

export type SendGossip = (message: GossipMessage) => void

/** What another router has last said of itself and of the agents it hears. */
export interface PeerView {
  readonly instance: InstanceName
  readonly appliedOffset: LogOffset
  readonly draining: boolean
  readonly canPropose: boolean
  readonly agentOffsets: ReadonlyMap<InstanceName, LogOffset>
}
