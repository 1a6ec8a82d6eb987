/** A model that an engine holds, with those of its adapters that are in place. */
export interface HeldModel {
  readonly name: string
  readonly adapters: readonly string[]
}

/** One start of a backend server. It holds and knows nothing of the one before, also when it has the same id. */
export interface ServerStart {
  readonly serverId: string
  /**
   * By the server's own clock, which may be wrong: compared only between starts of one id. Undefined for a server that does
   * not tell it; such a server has another id after each start.
   */
  readonly startedAtUnixMs: number | undefined
}

/** A backend server as the platform lists it. Seconds old at times. */
export interface ServerEntry extends ServerStart {
  readonly serviceName: string
  /** host:port; may belong to another server later. */
  readonly address: string
  readonly dataCentre: string
  readonly slots: number
  readonly isDraining: boolean
  readonly models: readonly HeldModel[]
}

/** An engine's state as its agent reads it, tens of ms old. */
export interface ServerReport {
  /** As in `ServerStart`. */
  readonly startedAtUnixMs: number | undefined
  readonly models: readonly HeldModel[]
  /** Adapters that are being fetched, as `model/adapter`. They take a place already. */
  readonly arrivingAdapters: readonly string[]
  /** An order on a model is being carried out. */
  readonly isBusy: boolean
  /** Orders that this start of the server has accepted. */
  readonly orderCount: number
  readonly runningCount: number
  /** Requests taken whose first event has not been made: they wait or their prompts are being computed. */
  readonly startingCount: number
  readonly isDraining: boolean
  /** Models whose weights lie in the server's memory or on its disk. */
  readonly inMemory: readonly string[]
  readonly onDisk: readonly string[]
}
