/** One line of the page: what a role needs for one purpose at the target's size. */
export interface CapacityRow {
  readonly what: string
  /** The mechanism that carries it. */
  readonly mechanism: string
  /** How the figure is worked out, with the names of the slopes. */
  readonly from: string
  readonly processorUsPerSecond: number
  readonly bytesPerSecond: number
  readonly memoryMb: number
}

/** A role at the target's size against the budget for control. */
export interface RoleCapacity {
  readonly role: string
  readonly state: string
  readonly messages: string
  readonly control: readonly CapacityRow[]
  /** Work for requests; not part of the budget for control. */
  readonly data: readonly CapacityRow[]
}

/** Sums of a role's control rows. */
export interface ControlTotal {
  readonly coreShare: number
  readonly bytesPerSecond: number
  readonly memoryMb: number
}
