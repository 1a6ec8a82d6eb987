/** A model that an engine holds, with its loaded adapters. */
export interface HeldModel {
  readonly name: string
  readonly adapters: readonly string[]
}

/** One start of a backend server. A new start has no state of an earlier one, also when it has the same id. */
export interface ServerStart {
  readonly serverId: string
  /**
   * Start time by the server's own clock, which may be wrong: it is compared only between starts with the same id. Undefined for
   * a server that does not report it; such a server has another id after each start.
   */
  readonly startedAtUnixMs: number | undefined
}

/** A backend server as listed by the platform. The entry may be seconds old. */
export interface ServerEntry extends ServerStart {
  readonly serviceName: string
  /** `host:port`; another server may use it later. */
  readonly address: string
  readonly dataCentre: string
  /** Version of the server's software. What two versions write does not fit together. */
  readonly softwareVersion: string
  readonly slots: number
  /** Number of the heartbeat that wrote the entry. It rises with each, and begins anew with each start. */
  readonly heartbeatNumber: number
  readonly isDraining: boolean
  readonly models: readonly HeldModel[]
}

/** An engine's state as read by its agent, tens of ms old. */
export interface ServerReport {
  /** Same as `ServerStart.startedAtUnixMs`. */
  readonly startedAtUnixMs: number | undefined
  readonly models: readonly HeldModel[]
  /** Adapters that are being fetched, as `model/adapter`. Each already takes a slot. */
  readonly arrivingAdapters: readonly string[]
  /** The engine is carrying out an order on a model. */
  readonly isBusy: boolean
  /** Number of orders that this start of the server has accepted. */
  readonly orderCount: number
  readonly runningCount: number
  /** Accepted requests without a first event: they are queued or their prompts are being computed. */
  readonly startingCount: number
  readonly isDraining: boolean
  /** Models with a copy of their weights in the server's memory; `onDisk` lists those with a copy on its disk. */
  readonly inMemory: readonly string[]
  readonly onDisk: readonly string[]
}
