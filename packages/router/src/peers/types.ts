import type { InstanceName, LogOffset } from '@figmount/base'
import type { RouterToRouterMessage, AgentToRouterMessage, RouterToAgentMessage } from '@figmount/peers'

/** Messages that this router may send to agents and routers alike. */
export type GossipMessage =
  Extract<RouterToAgentMessage, { readonly type: 'records' | 'records.ask' | 'suspect' }>

/** Messages about records, suspicions and leaving, received from an agent or another router. */
export type SharedMessage =
  | Extract<AgentToRouterMessage, { readonly type: 'records' | 'records.ask' | 'suspect' | 'leaving' }>
  | Extract<RouterToRouterMessage, { readonly type: 'records' | 'records.ask' | 'suspect' | 'leaving' }>

export type SendGossip = (message: GossipMessage) => void

/** Last reported state of another router and of the agents linked to it. */
export interface PeerView {
  readonly instance: InstanceName
  readonly appliedOffset: LogOffset
  readonly draining: boolean
  readonly canPropose: boolean
  readonly agentOffsets: ReadonlyMap<InstanceName, LogOffset>
}
