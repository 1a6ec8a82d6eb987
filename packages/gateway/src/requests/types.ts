import type { ServerResponse } from 'node:http'
import type { EventLog, Metrics, ReadBarrier, TimerService } from '@figmount/base'
import type { CallerRequest, CrashHistory, Deployment, HeaderCodec, Organisation, RawHeaders, RequestIdentity, Route } from '@figmount/fleet'
import type { AgentLinks } from '../agents/createAgentLinks.js'
import type { DemandMeter } from '../demand/createDemandMeter.js'
import type { UnmetModels } from '../demand/createUnmetModels.js'
import type { RefusedWants } from './createRefusedWants.js'
import type { Directory } from '../directory/types.js'
import type { Quotas } from '../limits/createQuotas.js'
import type { ConnectionPool } from '../forwarding/createConnectionPool.js'
import type { ColdLoads } from '../placing/createColdLoads.js'
import type { OccupancyMeter } from '../placing/createOccupancyMeter.js'
import type { QueueScaler } from '../placing/createQueueScaler.js'
import type { RetryBudget } from '../retries/createRetryBudget.js'
import type { ListWatch } from '../router/createListWatch.js'
import type { RouterNotice } from '../routerFeed/types.js'
import type { BreakWatch } from '../crashes/createBreakWatch.js'
import type { PendingRuns } from '../crashes/createPendingRuns.js'
import type { CrashNotifier } from '../crashes/createCrashNotifier.js'
import type { PartGuard } from '../crashes/createPartGuard.js'
import type { BodyRoom } from '../memory/createBodyRoom.js'
import type { HeldBytes } from '../memory/createHeldBytes.js'
import type { LifeChecks } from '../ends/createLifeChecks.js'
import type { StreamOrigins } from '../origins/createStreamOrigins.js'
import type { ServerLimits } from '../serverLimits/createServerLimits.js'
import type { Stop } from '../stopping/types.js'

/** The parts of a router that serving a request depends on. */
export interface GatewayContext {
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  readonly codec: HeaderCodec
  readonly directory: Directory
  readonly agents: AgentLinks
  /** Tells all other routers. */
  readonly tellRouters: (notice: RouterNotice) => void
  readonly demand: DemandMeter
  readonly unmetModels: UnmetModels
  readonly refusedWants: RefusedWants
  readonly pool: ConnectionPool
  /** Passed before work on a request, and before a send of a process that is late. */
  readonly reads: ReadBarrier
  readonly budget: RetryBudget
  readonly quotas: Quotas
  readonly crashes: CrashHistory
  readonly crashNotifier: CrashNotifier
  readonly partGuard: PartGuard
  readonly breakWatch: BreakWatch
  readonly lifeChecks: LifeChecks
  readonly heldBytes: HeldBytes
  readonly bodyRoom: BodyRoom
  readonly pendingRuns: PendingRuns
  readonly serverLimits: ServerLimits
  readonly origins: StreamOrigins
  readonly list: ListWatch
  readonly queueScaler: QueueScaler
  readonly coldLoads: ColdLoads
  /** False after a restart of the router: other processes may have been serving callers. */
  readonly isFirstStart: boolean
  /** False shortly after a restart, while agents have not reported which copies their engines have. */
  readonly areCopiesKnown: () => boolean
  readonly occupancy: OccupancyMeter
  readonly dataCentre: string
  readonly deployment: () => Deployment | undefined
  /** The highest number of routers reported in the last minutes. */
  readonly routerCount: () => number
  readonly stop: Stop
  readonly random: () => number
}

/** A request that was read completely and has a route. */
export interface RoutedRequest {
  readonly caller: CallerRequest
  readonly route: Route
  readonly serviceName: string
  /** Undefined if the route requires no key. */
  readonly organisation: Organisation | undefined
  /** Units that the request takes from its organisation's quota. */
  readonly units: number
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number
  readonly method: string
  readonly url: string
  readonly headers: RawHeaders
  readonly body: Buffer
  readonly arrivedMs: number
  /** Time of the request's deadline. */
  readonly untilMs: number
  readonly response: ServerResponse
  /** Aborts when the caller leaves. */
  readonly callerLeft: AbortSignal
  /** By which the request is recognised when its caller resends it after a crash. */
  readonly identity: RequestIdentity
}
