/** A backend server as a candidate for one request. */
export interface ServerView {
  readonly serverId: string
  readonly dataCentre: string
  /** Time until the request's adapter is in place; 0 when it is. */
  readonly adapterWaitMs: number
  /** Prompt tokens sent there that have not led to a first event. */
  readonly pendingTokens: number
  readonly runningCount: number
  /** Requests there without a first event, beside the router's own. */
  readonly startingCount: number
  /** Leading prompt tokens of this request that the server has computed before. */
  readonly cachedTokens: number
  /** 0 for a server without failures, towards 1 for one that fails always. */
  readonly failureShare: number
}

/** A backend server that could load a model. */
export interface LoaderView {
  readonly serverId: string
  readonly isInMemory: boolean
  readonly isOnDisk: boolean
  /** The model is being loaded or is waiting to be. */
  readonly isLoading: boolean
  /** Its load has begun. */
  readonly hasBegun: boolean
  /** Time until the server can begin: its running load and what waits before. */
  readonly busyMs: number
  /** Time until the server may begin a load from the weight store. */
  readonly coldWaitMs: number
  /** Expected time to make room there. */
  readonly roomMs: number
  /** Prompt tokens a second for the models that the server holds: their adapters cannot be fetched during a load. */
  readonly heldTokensPerS: number
  /** Requests that are late because of the room that is made there. */
  readonly evictionLoss: number
  readonly heldCount: number
  readonly failureShare: number
}

/** How long the ways to load a model take. */
export interface LoadTimes {
  /** The model's name, by which routers choose alike. */
  readonly name: string
  readonly coldLoadMs: number
  readonly diskLoadMs: number
  readonly memoryLoadMs: number
  /** Requests a second for the model: all that come until it is there wait for it. */
  readonly requestsPerS: number
}

/** A model that an engine holds, as a candidate to make way. */
export interface PlacedModel {
  readonly modelName: string
  readonly weightsMb: number
  /** Requests a second for the model, over all routers. */
  readonly requestsPerS: number
  readonly promptTokensPerS: number
  readonly replicaCount: number
  /** False after a start, before routers have told what is asked for. */
  readonly isDemandKnown: boolean
  /** Time in which the model is loaded again: a copy stays on the server. */
  readonly returnsMs: number
  /** Requests run on it here: it can be unloaded only after their end. */
  readonly isRunning: boolean
  /** Time since its load ended. */
  readonly heldMs: number
  /** Time since a router last sent a request for it here or asked for it. */
  readonly idleMs: number
}

/** Demand for one model and who holds it. */
export interface ReplicaView {
  readonly modelName: string
  readonly promptTokensPerS: number
  readonly replicaCount: number
  /** Loads of it that are under way or asked for. */
  readonly comingCount: number
}
