/** Part of the full speed that each of `activeCount` transfers gets. */
export const transferSpeed = (activeCount: number, fullSpeedCount: number): number =>
  activeCount <= fullSpeedCount ? 1 : fullSpeedCount / activeCount
