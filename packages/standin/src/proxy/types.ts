/** What the proxy does to the bytes of one direction of a connection. */
export type Fault =
  | { readonly kind: 'none' }
  | { readonly kind: 'delay', readonly delayMs: number }
  /** Bytes are discarded, nothing is closed: the connection has gone silent. */
  | { readonly kind: 'drop' }
  /** Bytes are held back until the fault is taken away. */
  | { readonly kind: 'stall' }
  | { readonly kind: 'bandwidth', readonly bytesPerSecond: number }

/** `up` is from the side that dialled to the target. */
export type Direction = 'up' | 'down'
