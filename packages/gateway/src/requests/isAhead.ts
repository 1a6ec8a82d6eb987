/** A request among others that wait for the same. */
export interface Waiter {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Numbered in the order of arrival. */
  readonly number: number
}

/** Whether one request goes before another: the more urgent one first, then the earlier one. */
export const isAhead = (other: Waiter, own: Waiter): boolean =>
  other.priority < own.priority || (other.priority === own.priority && other.number < own.number)
