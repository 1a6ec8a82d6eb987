/** A queue that callbacks push values into and that one asynchronous reader reads in order. */
export interface MessageQueue<T> {
  readonly push: (value: T) => void
  readonly end: () => void
  readonly values: AsyncIterable<T>
}

/** Creates a queue for one reader. */
export const createMessageQueue = <T>(): MessageQueue<T> => {
  let pending: T[] = []
  let isEnded = false
  let resumeReader: (() => void) | undefined

  const notify = (): void => {
    resumeReader?.()
    resumeReader = undefined
  }

  const read = async function * (): AsyncGenerator<T> {
    while (true) {
      const batch = pending
      pending = []
      yield * batch
      if (pending.length > 0) continue
      if (isEnded) return
      await new Promise<void>(resolve => { resumeReader = resolve })
    }
  }

  return {
    push: value => {
      if (isEnded) return
      pending.push(value)
      notify()
    },
    end: () => {
      isEnded = true
      notify()
    },
    values: { [Symbol.asyncIterator]: read }
  }
}
