/** A TCP proxy for one address, with the faults of a network: connections that go silent, and a cut that ends. */
import { connect, createServer } from 'node:net'

const splitAddress = address => {
  const [host, port] = address.split(':')
  return { host, port: Number(port) }
}

/** Starts a proxy for `target` on `host`; port 0 takes a free one. */
export const startProxy = async (host, target, port = 0) => {
  const pairs = new Set()
  /** What happens on the connections during a cut, in order; it is passed on when the cut ends. */
  let delayed = []
  let isCut = false
  let isDark = false

  const passOn = (pair, act) => {
    if (pair.isSilent || pair.isLost) return
    if (isCut) delayed.push(act)
    else act()
  }

  const pipe = (pair, from, to) => {
    from.setNoDelay(true)
    from.on('data', bytes => {
      pair.lastMs = performance.now()
      // A machine that has started again knows nothing of its connections.
      if (pair.isLost && !isDark && from === pair.inbound) from.resetAndDestroy()
      passOn(pair, () => { to.write(bytes) })
    })
    from.on('end', () => passOn(pair, () => { to.end() }))
    from.on('error', () => passOn(pair, () => { to.resetAndDestroy() }))
    from.on('close', () => passOn(pair, () => {
      pairs.delete(pair)
      if (!to.writableEnded) to.destroy()
    }))
  }

  const begin = inbound => {
    const outbound = connect({ ...splitAddress(target), allowHalfOpen: true })
    const pair = { inbound, outbound, isSilent: false, isLost: isDark, lastMs: performance.now() }
    pairs.add(pair)
    pipe(pair, inbound, outbound)
    pipe(pair, outbound, inbound)
    inbound.resume()
  }

  const server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, inbound => {
    inbound.on('error', () => {})
    // A connection that is opened during a cut reaches the target when it has ended.
    if (isCut) delayed.push(() => { begin(inbound) })
    else begin(inbound)
  })
  await new Promise(resolve => { server.listen(port, host, resolve) })

  return {
    address: `${host}:${server.address().port}`,
    /** While it is cut, nothing passes and no connection ends; what was sent arrives when the cut has ended. */
    setCut: next => {
      isCut = next
      if (isCut) return
      const acts = delayed
      delayed = []
      for (const act of acts) act()
    },
    /** While the target's machine is dark, nothing passes either way; its connections are lost. */
    setDark: next => {
      isDark = next
      for (const pair of pairs) pair.isLost = true
    },
    /** Makes open connections silent for good on which nothing has passed for `idleMs`: no end, no reset. Returns their number. */
    silenceIdle: idleMs => {
      let count = 0
      for (const pair of pairs) {
        if (pair.isSilent || performance.now() - pair.lastMs < idleMs) continue
        pair.isSilent = true
        count += 1
      }
      return count
    },
    close: () => {
      server.close()
      for (const { inbound, outbound } of pairs) {
        inbound.destroy()
        outbound.destroy()
      }
    }
  }
}
