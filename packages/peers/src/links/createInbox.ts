/** A queue between a callback that pushes and one task that reads in order. */
export interface Inbox<T> {
  readonly push: (value: T) => void
  readonly end: () => void
  readonly values: AsyncIterable<T>
}

/** Makes an inbox for one reader. */
export const createInbox = <T>(): Inbox<T> => {
  let waiting: T[] = []
  let ended = false
  let wake: (() => void) | undefined

  const notify = (): void => {
    wake?.()
    wake = undefined
  }

  const read = async function * (): AsyncGenerator<T> {
    while (true) {
      const batch = waiting
      waiting = []
      yield * batch
      if (waiting.length > 0) continue
      if (ended) return
      await new Promise<void>(resolve => { wake = resolve })
    }
  }

  return {
    push: value => {
      if (ended) return
      waiting.push(value)
      notify()
    },
    end: () => {
      ended = true
      notify()
    },
    values: { [Symbol.asyncIterator]: read }
  }
}
