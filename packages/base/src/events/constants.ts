/** Events that a process remembers for `explain` and `events`: about 1 MB at 250 bytes each. */
export const RECENT_EVENT_COUNT = 4000

/** First number of each package's range in the catalogue. */
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
