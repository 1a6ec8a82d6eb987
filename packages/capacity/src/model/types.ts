/** One row of the page: the resources a role needs for one purpose at the target size. */
export interface CapacityRow {
  readonly what: string
  /** The mechanism that does this work. */
  readonly mechanism: string
  /** How the figures are computed, with the names of the slopes. */
  readonly from: string
  readonly processorUsPerSecond: number
  readonly bytesPerSecond: number
  readonly memoryMb: number
}

/** Resources of a role at the target size. */
export interface RoleCapacity {
  readonly role: string
  readonly state: string
  readonly messages: string
  readonly control: readonly CapacityRow[]
  /** Work for requests; not counted against the control budget. */
  readonly data: readonly CapacityRow[]
}

/** Sums of a role's control rows. */
export interface ControlTotal {
  readonly coreShare: number
  readonly bytesPerSecond: number
  readonly memoryMb: number
}
