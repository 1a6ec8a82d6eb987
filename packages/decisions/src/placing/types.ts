/** A backend server as a candidate for one request. */
export interface ServerView {
  readonly serverId: string
  readonly dataCentre: string
  /** Expected time until the request's adapter is loaded; 0 when it already is. */
  readonly adapterWaitMs: number
  /** Prompt tokens of requests sent to the server that have not produced a first event yet. */
  readonly pendingTokens: number
  readonly runningCount: number
  /** Requests without a first event on the server, excluding those sent by this router. */
  readonly startingCount: number
  /** Leading prompt tokens of this request that the server holds in its prefix cache. */
  readonly cachedTokens: number
  /** Recent share of failed requests: 0 for a server without failures, approaching 1 for one that always fails. */
  readonly failureShare: number
}

/** A backend server that could load a model. */
export interface LoaderView {
  readonly serverId: string
  readonly isInMemory: boolean
  readonly isOnDisk: boolean
  /** The model is being loaded or its load is queued. */
  readonly isLoading: boolean
  /** The load has started. */
  readonly hasBegun: boolean
  /** Time until the server can start the load: the rest of its current load and the loads queued before. */
  readonly busyMs: number
  /** Time until the server may start a load from the weight store. */
  readonly coldWaitMs: number
  /** Expected time to free enough memory on the server. */
  readonly roomMs: number
  /** Prompt tokens per second for the models that the server holds. Their adapters cannot be loaded during a model load. */
  readonly heldTokensPerS: number
  /** Requests that become late because models are evicted to free memory on the server. */
  readonly evictionLoss: number
  readonly heldCount: number
  readonly failureShare: number
}

/** How long each way to load a model takes. */
export interface LoadTimes {
  /** The model's name. It breaks ties, so that all routers choose the same server. */
  readonly name: string
  readonly coldLoadMs: number
  readonly diskLoadMs: number
  readonly memoryLoadMs: number
  /** Requests per second for the model. All that arrive before it is loaded wait for it. */
  readonly requestsPerS: number
}

/** A model that an engine holds, as a candidate for eviction. */
export interface PlacedModel {
  readonly modelName: string
  readonly weightsMb: number
  /** Requests per second for the model, summed over all routers. */
  readonly requestsPerS: number
  readonly promptTokensPerS: number
  readonly replicaCount: number
  /** False after a start, until routers have reported their demand. */
  readonly isDemandKnown: boolean
  /** Time to load the model again from the copy that stays on the server. */
  readonly reloadMs: number
  /** Requests for the model are running, so it can be unloaded only after they end. */
  readonly isRunning: boolean
  /** Time since its load ended. */
  readonly residentMs: number
  /** Time since a router last sent a request for the model to this server or asked for it to be loaded. */
  readonly idleMs: number
}

/** Demand for one model and the number of its replicas. */
export interface ReplicaView {
  readonly modelName: string
  readonly promptTokensPerS: number
  readonly replicaCount: number
  /** Replicas that are being loaded or have been requested. */
  readonly comingCount: number
}
