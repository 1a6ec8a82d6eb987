/** The size that the system is designed for, from the users' requirements. */
export const Target = {
  routerCount: 350,
  agentCount: 7_200,
  requestsPerSecond: 7_300,
  tokensPerSecond: 2_400_000,
  firstTokenMs: 700,
  tokenGapMs: 66,
  modelCount: 1_200,
  adapterCount: 29_000,
  /** Share of models and adapters that become active or idle within an hour. */
  activityChangeSharePerHour: 0.11,
  regionCount: 3,
  dataCentreCount: 8,
  changesPerDay: 8_200,
  inForceMs: 3_000,
  failuresPerDay: 41,
  restartsPerDay: 610
} as const

/** Budget of the control plane's work in each process. */
export const Budget = {
  coreShare: 0.025,
  memoryMb: 256,
  bytesPerSecond: 7_000
} as const
