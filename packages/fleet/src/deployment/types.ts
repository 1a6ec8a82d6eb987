/** What may be done with a request whose outcome is unknown. */
export const RequestKind = {
  /** May run any number of times. */
  Idempotent: 'idempotent',
  /** May run once for each attempt of its caller. */
  AtMostOnce: 'at_most_once',
  /** A stream of numbered events. */
  Stream: 'stream'
} as const

export type RequestKind = typeof RequestKind[keyof typeof RequestKind]

/** One of the services that share a route's requests. */
export interface ServiceShare {
  readonly serviceName: string
  readonly weight: number
}

/** Where requests of one host and path go, and within which bounds. */
export interface Route {
  readonly name: string
  /** In lower case, without a port. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RequestKind
  /** A request has its final answer within this time of its arrival. */
  readonly timeoutMs: number
  /** Time to the answer, or to a stream's first event, that callers are content with. */
  readonly objectiveMs: number
  /** Callers leave a stream that shows no event for this long; the time-out for what is no stream. */
  readonly patienceMs: number
  /** Rank among routes, 0 the most urgent. */
  readonly priority: number
  readonly shares: readonly ServiceShare[]
  /** Backend servers on which one request may run. */
  readonly maxAttempts: number
  readonly isResumable: boolean
  /** Callers need no key. */
  readonly isPublic: boolean
}

/** A model of a service's engines. */
export interface ModelSpec {
  readonly name: string
  readonly weightsMb: number
  /** Load from the weight store, alone. */
  readonly coldLoadMs: number
  /** Load from the backend server's own disk. */
  readonly diskLoadMs: number
  /** Load from the backend server's own memory. */
  readonly memoryLoadMs: number
  readonly adapterMb: number
}

/** What every engine of a service has. */
export interface EngineSpec {
  readonly models: readonly ModelSpec[]
  /** Room for weights and adapters together. */
  readonly weightsCapacityMb: number
  readonly adapterSlots: number
}

/** A group of backend servers. Without an engine it is a plain service. */
export interface Service {
  readonly name: string
  /** Path of the servers' health check. */
  readonly healthPath: string
  readonly engine?: EngineSpec
}

/** Bounds on what a caller may send, and on how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** What counts against an organisation's limit. */
export const LimitUnit = {
  Requests: 'requests',
  /** Prompt tokens and the most tokens that may come out. */
  Tokens: 'tokens'
} as const

export type LimitUnit = typeof LimitUnit[keyof typeof LimitUnit]

/** How much an organisation may ask for, over all routers together. */
export interface OrganisationLimit {
  readonly unit: LimitUnit
  readonly unitsPerS: number
  /** Units that may come at once after a pause. */
  readonly burstUnits: number
  /** What a request without a count of tokens counts as. */
  readonly plainUnits: number
}

/** A customer whose callers share keys and a limit. */
export interface Organisation {
  readonly name: string
  /** Rank of its requests, 0 the most urgent; undefined leaves it to the route. */
  readonly priority: number | undefined
  /** Undefined for one without a limit. */
  readonly limit: OrganisationLimit | undefined
}

/** The organisations of a configuration. */
export interface Organisations {
  readonly all: readonly Organisation[]
  /** Who holds a key, by the key's digest in this process: keys themselves are not kept. */
  readonly byKeyDigest: ReadonlyMap<string, Organisation>
}

/** One accepted configuration, whole. */
export interface Deployment {
  /** Grows with each accepted configuration, in uneven steps. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  /** Undefined where callers need no key. */
  readonly organisations: Organisations | undefined
}
