/** Fault that the proxy applies to the bytes of one direction of a connection. */
export type Fault =
  | { readonly kind: 'none' }
  | { readonly kind: 'delay', readonly delayMs: number }
  /** Bytes are discarded and nothing is closed: the receiving end sees a silent connection. */
  | { readonly kind: 'drop' }
  /** Bytes are held back until the fault is removed. */
  | { readonly kind: 'stall' }
  | { readonly kind: 'bandwidth', readonly bytesPerSecond: number }

/** `up` is from the end that opened the connection to the target; `down` is the reverse. */
export type Direction = 'up' | 'down'
