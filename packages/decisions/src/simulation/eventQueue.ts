interface Event {
  readonly atMs: number
  readonly order: number
  readonly fire: () => void
}

/** Virtual clock of one simulation run. Events at the same time fire in the order in which they were added. */
export interface EventQueue {
  readonly nowMs: () => number
  readonly at: (atMs: number, fire: () => void) => void
  /** Fires all events up to and including `untilMs`. */
  readonly runUntil: (untilMs: number) => void
}

const isBefore = (a: Event, b: Event): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)

/** A binary heap. The base package's timers scan all pending ones, which is too slow for 100,000 arrivals. */
export const createEventQueue = (): EventQueue => {
  const heap: Event[] = []
  let currentMs = 0
  let nextOrder = 0

  const push = (event: Event): void => {
    let index = heap.push(event) - 1
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = heap[parentIndex]!
      if (!isBefore(event, parent)) break
      heap[index] = parent
      index = parentIndex
    }
    heap[index] = event
  }

  const siftDown = (event: Event): void => {
    let index = 0
    for (;;) {
      const leftIndex = index * 2 + 1
      const left = heap[leftIndex]
      if (!left) break
      const right = heap[leftIndex + 1]
      const childIndex = right && isBefore(right, left) ? leftIndex + 1 : leftIndex
      const child = heap[childIndex]!
      if (!isBefore(child, event)) break
      heap[index] = child
      index = childIndex
    }
    heap[index] = event
  }

  const pop = (): Event | undefined => {
    const first = heap[0]
    const last = heap.pop()
    if (first && last && last !== first) siftDown(last)
    return first
  }

  return {
    nowMs: () => currentMs,
    at: (atMs, fire) => { push({ atMs: Math.max(atMs, currentMs), order: nextOrder++, fire }) },
    runUntil: untilMs => {
      while (heap[0] && heap[0].atMs <= untilMs) {
        const event = pop()!
        currentMs = event.atMs
        event.fire()
      }
      currentMs = untilMs
    }
  }
}
