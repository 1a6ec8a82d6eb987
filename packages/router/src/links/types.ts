import type { EitherAsync } from 'purify-ts'
import type { AttemptId, DataCentre, Fault, Incarnation, InstanceName, LogOffset } from '@figmount/base'
import type { AgentReport, FromAgent, Link, PermitReply, ToAgent } from '@figmount/peers'

/** Dials an agent; `onOffset` hears the log offset in every envelope. */
export type DialAgent = (
  instance: InstanceName,
  onOffset: (offset: LogOffset) => void
) => EitherAsync<Fault, Link<ToAgent, FromAgent>>

/** What a router knows of an agent. */
export interface AgentView {
  readonly instance: InstanceName
  readonly isOpen: boolean
  /** Undefined until the agent has been heard. */
  readonly incarnation: Incarnation | undefined
  readonly dataCentre: DataCentre | undefined
  readonly report: AgentReport | undefined
  /** Monotonic time at which the report came. */
  readonly reportAtMs: number
  /** Monotonic time at which a report last brought another token interval. */
  readonly intervalAtMs: number
  /** Monotonic time since which dialling fails; undefined while it works or was not tried. */
  readonly unreachableSinceMs: number | undefined
  /** Monotonic time until which the agent's own word counts that it takes no new work; -Infinity if it has not said so. */
  readonly leavingUntilMs: number
  /** The agent's next log offset as last heard. */
  readonly appliedOffset: LogOffset
}

/** What an agent says about one attempt. */
export type AttemptMessage = Extract<FromAgent, { readonly type: 'progress' | 'tokens' | 'final' | 'refused' | 'unknown' }>

/** What reaches the task of an attempt: the agent's messages and the state of the link to it. */
export type AttemptNotice =
  | AttemptMessage
  | {
    /** The link broke, or another try to open it failed. */
    readonly type: 'link.down'
    readonly downMs: number
    readonly failedDialCount: number
  }

/** One attempt's side of a link. It outlives connections: a new one asks for the attempt by `resume`. */
export interface AttemptChannel {
  /** Sends `start` or `resume`, after which the attempt is asked for again on every new connection. False if no connection is open. */
  readonly begin: (message: Extract<ToAgent, { readonly type: 'start' | 'resume' }>) => boolean
  readonly send: (message: ToAgent) => boolean
  readonly take: (waitMs: number, signal?: AbortSignal) => Promise<AttemptNotice | undefined>
  /** True once after frames were lost because the reader was slow. */
  readonly hasOverflowed: () => boolean
  readonly close: () => void
}

export type PermitAsk = Omit<Extract<ToAgent, { readonly type: 'permit.ask' }>, 'type' | 'askId'>

/** The connection to one agent, opened on demand. */
export interface AgentLink {
  readonly view: () => AgentView
  /** Opens a connection unless one is open; Right when the agent has welcomed this router. */
  readonly whenOpen: (waitMs: number) => EitherAsync<Fault, AgentView>
  /** Asks for a report now; resolves when it has come or after `waitMs`. */
  readonly refresh: (waitMs: number) => Promise<void>
  /** Keeps the link from being closed as idle. */
  readonly keep: () => void
  readonly openAttempt: (attemptId: AttemptId, nextFrame: () => number) => AttemptChannel
  /** Left if the agent did not answer in time; the permit may then have been given or not. */
  readonly askPermit: (ask: PermitAsk, waitMs: number) => EitherAsync<Fault, PermitReply>
  readonly send: (message: ToAgent) => boolean
  /** Monotonic time since which no attempt has used the open link; undefined while one does or it is not open. */
  readonly idleSinceMs: () => number | undefined
  /** Closes the connection; it is opened again on demand. */
  readonly release: (reason: string) => void
  readonly stop: (reason: string) => void
}

/** What the rest of the router wants to hear from links. */
export interface LinkHooks {
  readonly onOffset: (instance: InstanceName, offset: LogOffset) => void
  readonly onShared: (instance: InstanceName, message: SharedMessage) => void
}

/** Messages that concern no single attempt. */
export type SharedMessage = Extract<FromAgent, { readonly type: 'records' | 'records.ask' | 'suspect' | 'leaving' }>
