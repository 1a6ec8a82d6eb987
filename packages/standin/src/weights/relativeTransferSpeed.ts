/** Fraction of the full speed that each of `activeCount` concurrent transfers gets. */
export const relativeTransferSpeed = (activeCount: number, fullSpeedCount: number): number =>
  activeCount <= fullSpeedCount ? 1 : fullSpeedCount / activeCount
