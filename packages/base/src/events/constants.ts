/** Number of recent events that a process keeps in memory for `explain` and `events`: about 1 MB at 250 bytes each. */
export const RECENT_EVENT_COUNT = 4000

/** First event number of each package's range. */
export const EventRange = {
  base: 1000,
  router: 2000,
  agent: 3000,
  peers: 4000,
  records: 5000,
  standin: 6000,
  load: 7000,
  client: 8000
} as const
