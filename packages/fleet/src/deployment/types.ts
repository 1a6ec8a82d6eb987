/** How a request may be retried when its outcome is unknown. */
export const RequestKind = {
  /** May run any number of times. */
  Idempotent: 'idempotent',
  /** May run once per attempt of its caller. */
  AtMostOnce: 'at_most_once',
  /** A stream of numbered events. */
  Stream: 'stream'
} as const

export type RequestKind = typeof RequestKind[keyof typeof RequestKind]

/** A service's share of a route's requests. */
export interface ServiceShare {
  readonly serviceName: string
  readonly weight: number
}

/** The services that requests of one host and path prefix are sent to, and the bounds of these requests. */
export interface Route {
  readonly name: string
  /** In lower case, without a port. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RequestKind
  /** Time from a request's arrival within which it gets its final answer. */
  readonly timeoutMs: number
  /** Target time to the answer, or to a stream's first event. */
  readonly objectiveMs: number
  /** Callers abandon a stream without an event for this long; equals the time-out for other requests. */
  readonly patienceMs: number
  /** Priority among routes; 0 is the most urgent. */
  readonly priority: number
  readonly shares: readonly ServiceShare[]
  /** Most backend servers on which one request may be tried. */
  readonly maxAttempts: number
  readonly isResumable: boolean
  /** Callers need no key. */
  readonly isPublic: boolean
}

/** A model that a service's engines can load. */
export interface ModelSpec {
  readonly name: string
  readonly weightsMb: number
  /** Duration of a load from the weight store without concurrent loads. */
  readonly coldLoadMs: number
  /** Duration of a load from the backend server's own disk. */
  readonly diskLoadMs: number
  /** Duration of a load from the backend server's own memory. */
  readonly memoryLoadMs: number
  readonly adapterMb: number
}

/** Properties shared by all engines of a service. */
export interface EngineSpec {
  readonly models: readonly ModelSpec[]
  /** Memory for weights and adapters together. */
  readonly weightsCapacityMb: number
  readonly adapterSlots: number
}

/** A group of backend servers; a plain service when `engine` is undefined. */
export interface Service {
  readonly name: string
  /** Path of the servers' health check. */
  readonly healthPath: string
  readonly engine?: EngineSpec
}

/** Bounds on the size of a caller's request and on the time to send it. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** Unit in which an organisation's limit is counted. */
export const LimitUnit = {
  Requests: 'requests',
  /** Prompt tokens plus the most tokens that the answer may have. */
  Tokens: 'tokens'
} as const

export type LimitUnit = typeof LimitUnit[keyof typeof LimitUnit]

/** Rate limit of an organisation over all routers together. */
export interface OrganisationLimit {
  readonly unit: LimitUnit
  readonly unitsPerS: number
  /** Most units that may be used at once after a pause. */
  readonly burstUnits: number
  /** Units charged for a request without token counts. */
  readonly plainUnits: number
}

/** A customer whose callers share keys and a limit. */
export interface Organisation {
  readonly name: string
  /** Priority of its requests, 0 the most urgent; undefined to use the route's. */
  readonly priority: number | undefined
  /** Undefined for an organisation without a limit. */
  readonly limit: OrganisationLimit | undefined
}

/** The organisations of one configuration. */
export interface Organisations {
  readonly all: readonly Organisation[]
  /** Organisations by the digest of a key, which differs between processes. The keys themselves are not stored. */
  readonly byKeyDigest: ReadonlyMap<string, Organisation>
}

/** Finds the route of a request. */
export interface RouteTable {
  /** The host's route with the longest matching path prefix; the query is ignored. */
  readonly find: (hostHeader: string, url: string) => Route | undefined
}

/** One accepted, complete configuration. */
export interface Deployment {
  /** Grows with each accepted configuration, by varying steps. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly routeTable: RouteTable
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  /** Undefined where callers need no key. */
  readonly organisations: Organisations | undefined
}
