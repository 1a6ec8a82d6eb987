import type { Metrics } from './types.js'

/** Counts messages that a process sends to others, and their bytes, by type. */
export const countMessages = (metrics: Metrics) => (type: string, byteCount: number): void => {
  metrics.count(`messages_sent_total{type="${type}"}`)
  metrics.count(`message_bytes_sent_total{type="${type}"}`, byteCount)
}
