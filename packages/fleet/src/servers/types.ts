/** A model that an engine holds, with those of its adapters that are in place. */
export interface HeldModel {
  readonly name: string
  readonly adapters: readonly string[]
}

/** A backend server as the platform lists it. Seconds old at times. */
export interface ServerEntry {
  /** Names one start of the server; a restart has another id. */
  readonly serverId: string
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
