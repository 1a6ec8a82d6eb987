import type { InstanceName, LogOffset } from '@figmount/base'
import type { BetweenRouters, FromAgent, ToAgent } from '@figmount/peers'

/** Messages that this router may send to agents and routers alike. */
export type GossipMessage =
  Extract<ToAgent, { readonly type: 'records' | 'records.ask' | 'suspect' }>

/** Messages about records, suspicions and leaving, received from an agent or another router. */
export type SharedMessage =
  | Extract<FromAgent, { readonly type: 'records' | 'records.ask' | 'suspect' | 'leaving' }>
  | Extract<BetweenRouters, { readonly type: 'records' | 'records.ask' | 'suspect' | 'leaving' }>

export type SendGossip = (message: GossipMessage) => void

/** Last reported state of another router and of the agents linked to it. */
export interface PeerView {
  readonly instance: InstanceName
  readonly appliedOffset: LogOffset
  readonly draining: boolean
  readonly canPropose: boolean
  readonly agentOffsets: ReadonlyMap<InstanceName, LogOffset>
}
