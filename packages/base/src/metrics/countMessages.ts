import type { Metrics } from './types.js'

/** Returns a function that counts messages sent to other processes, and their bytes, by message type. */
export const countMessages = (metrics: Metrics) => (type: string, byteCount: number): void => {
  metrics.count(`messages_sent_total{type="${type}"}`)
  metrics.count(`message_bytes_sent_total{type="${type}"}`, byteCount)
}
