import type { Metrics } from './types.js'

/**
 * Creates a function that returns a process's metrics as text. It makes the text once a turn of the event loop, as a caller may send
 * thousands of requests ahead, which are answered in few turns.
 */
export const createMetricsPage = (metrics: Pick<Metrics, 'text'>): (() => string) => {
  let text: string | undefined
  return () => {
    if (text !== undefined) return text
    text = metrics.text()
    setImmediate(() => { text = undefined })
    return text
  }
}
