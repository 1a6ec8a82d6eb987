import type { EitherAsync } from 'purify-ts'
import type { AttemptId, DataCentre, Fault, Incarnation, InstanceName, LogOffset } from '@figmount/base'
import type { AgentReport, AgentToRouterMessage, Link, PermitReply, RouterToAgentMessage } from '@figmount/peers'

/** Dials an agent; `onOffset` is called with the log offset of every received envelope. */
export type DialAgent = (
  instance: InstanceName,
  onOffset: (offset: LogOffset) => void
) => EitherAsync<Fault, Link<RouterToAgentMessage, AgentToRouterMessage>>

/** Last known state of an agent. */
export interface AgentView {
  readonly instance: InstanceName
  readonly isOpen: boolean
  /** Undefined until the first handshake. */
  readonly incarnation: Incarnation | undefined
  readonly dataCentre: DataCentre | undefined
  readonly report: AgentReport | undefined
  /** Monotonic time at which the last report was received. */
  readonly reportAtMs: number
  /** Monotonic time at which a report last changed the token interval. */
  readonly intervalAtMs: number
  /** Monotonic time of the first failed dial since the last success; undefined if dials succeed or none was made. */
  readonly unreachableSinceMs: number | undefined
  /** Monotonic time until which the agent counts as leaving by its own announcement; -Infinity without one. */
  readonly leavingUntilMs: number
  /** The agent's next log offset as last received. */
  readonly appliedOffset: LogOffset
}

/** Messages of an agent about one attempt. */
export type AttemptMessage = Extract<AgentToRouterMessage, { readonly type: 'progress' | 'tokens' | 'final' | 'refused' | 'unknown' }>

/** Input to the task of an attempt: the agent's messages and the state of the link. */
export type AttemptNotice =
  | AttemptMessage
  | {
    /** The link broke, or a further dial failed. */
    readonly type: 'link.down'
    readonly downMs: number
    readonly failedDialCount: number
  }

/** Channel of one attempt on a link. It survives reconnects: each new connection resumes the attempt. */
export interface AttemptChannel {
  /** Sends `start` or `resume`; from then on each new connection resumes the attempt. False if no connection is open. */
  readonly begin: (message: Extract<RouterToAgentMessage, { readonly type: 'start' | 'resume' }>) => boolean
  readonly send: (message: RouterToAgentMessage) => boolean
  readonly take: (waitMs: number, signal?: AbortSignal) => Promise<AttemptNotice | undefined>
  /** Returns true once after frames were dropped because the reader was slow. */
  readonly hasOverflowed: () => boolean
  readonly close: () => void
}

export type PermitAsk = Omit<Extract<RouterToAgentMessage, { readonly type: 'permit.ask' }>, 'type' | 'askId'>

/** The connection to one agent, opened on demand. */
export interface AgentLink {
  readonly view: () => AgentView
  /** Opens a connection unless one is open; Right after the handshake. */
  readonly whenOpen: (waitMs: number) => EitherAsync<Fault, AgentView>
  /** Requests a report; resolves when it has arrived or after `waitMs`. */
  readonly refresh: (waitMs: number) => Promise<void>
  /** Opens the link if needed and restarts its idle timeout. */
  readonly keepOpen: () => void
  readonly openAttempt: (attemptId: AttemptId, nextFrame: () => number) => AttemptChannel
  /** Left if the agent did not reply in time; the permit may have been granted or not. */
  readonly askPermit: (ask: PermitAsk, waitMs: number) => EitherAsync<Fault, PermitReply>
  readonly send: (message: RouterToAgentMessage) => boolean
  /** Monotonic time of the last use of an open link without attempts; undefined if it is in use or closed. */
  readonly idleSinceMs: () => number | undefined
  /** Closes the connection; it is reopened on demand. */
  readonly release: (reason: string) => void
  readonly stop: (reason: string) => void
}

/** Callbacks for messages and offsets that concern the router as a whole. */
export interface LinkHooks {
  readonly onOffset: (instance: InstanceName, offset: LogOffset) => void
  readonly onShared: (instance: InstanceName, message: SharedMessage) => void
}

/** Messages that do not belong to a single attempt. */
export type SharedMessage = Extract<AgentToRouterMessage, { readonly type: 'records' | 'records.ask' | 'suspect' | 'leaving' }>
