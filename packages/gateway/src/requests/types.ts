import type { ServerResponse } from 'node:http'
import type { EventLog, Metrics, TimerService } from '@figmount/base'
import type { CallerRequest, Deployment, HeaderCodec, Organisation, RawHeaders, Route } from '@figmount/fleet'
import type { AgentLinks } from '../agents/createAgentLinks.js'
import type { DemandMeter } from '../demand/createDemandMeter.js'
import type { UnmetModels } from '../demand/createUnmetModels.js'
import type { Directory } from '../directory/types.js'
import type { Quotas } from '../limits/createQuotas.js'
import type { ConnectionPool } from '../forwarding/createConnectionPool.js'
import type { ColdLoads } from '../placing/createColdLoads.js'
import type { OccupancyMeter } from '../placing/createOccupancyMeter.js'
import type { QueueScaler } from '../placing/createQueueScaler.js'
import type { RetryBudget } from '../retries/createRetryBudget.js'
import type { CrashNotifier } from '../retries/createCrashNotifier.js'
import type { CrashHistory } from '../retries/createCrashHistory.js'
import type { Stop } from '../stopping/types.js'

/** What serving a request needs of its router. */
export interface GatewayContext {
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  readonly codec: HeaderCodec
  readonly directory: Directory
  readonly agents: AgentLinks
  readonly demand: DemandMeter
  readonly unmetModels: UnmetModels
  readonly pool: ConnectionPool
  readonly budget: RetryBudget
  readonly quotas: Quotas
  readonly crashes: CrashHistory
  readonly crashNotifier: CrashNotifier
  readonly queueScaler: QueueScaler
  readonly coldLoads: ColdLoads
  readonly occupancy: OccupancyMeter
  readonly dataCentre: string
  readonly deployment: () => Deployment | undefined
  /** The most routers seen so far. */
  readonly routerCount: () => number
  readonly stop: Stop
  readonly random: () => number
}

/** A request that was read whole and whose route is known. */
export interface RoutedRequest {
  readonly caller: CallerRequest
  readonly route: Route
  readonly serviceName: string
  /** Undefined where no key is asked for. */
  readonly organisation: Organisation | undefined
  /** What the request counts against its organisation's limit. */
  readonly units: number
  /** Rank of the request, 0 the most urgent. */
  readonly priority: number
  readonly method: string
  readonly url: string
  readonly headers: RawHeaders
  readonly body: Buffer
  readonly arrivedMs: number
  /** Time by which the caller has its final answer. */
  readonly untilMs: number
  readonly response: ServerResponse
  /** Aborts when the caller leaves. */
  readonly callerLeft: AbortSignal
  /** Hash of what a caller sends again after a crash. */
  readonly requestHash: string
}
