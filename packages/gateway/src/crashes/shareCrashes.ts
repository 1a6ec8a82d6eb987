import { GatewayEvent } from '../events.js'
import { shortHash } from './shortHash.js'

import type { EventLog } from '@figmount/base'
import type { CrashHistory, CrashNotice } from '@figmount/fleet'
import type { CrashNotifier } from './createCrashNotifier.js'
import type { PartGuard } from './createPartGuard.js'

interface Options {
  readonly events: EventLog
  readonly crashes: CrashHistory
  readonly crashNotifier: CrashNotifier
  readonly partGuard: PartGuard
  readonly send: (address: string, notice: CrashNotice) => void
}

/** What routers tell each other of crashes, by way of the agents. */
export interface SharedCrashes {
  /** Takes what another router has reported. */
  readonly take: (notice: CrashNotice) => void
  /** Sends all known crashes to an agent whose link was opened: it may have missed notices, or be new. */
  readonly sendAll: (address: string) => void
}

/** Keeps a router's crash history up to date with the other routers'. */
export const shareCrashes = ({ events, crashes, crashNotifier, partGuard, send }: Options): SharedCrashes => ({
  take: notice => {
    for (const crash of notice.crashes) {
      if (!crashes.note(crash)) continue
      const answer = crashes.answerTo(crash.identity)
      if (answer) crashNotifier.notify({ answered: [answer] })
      events.emit(GatewayEvent.crashNoted, {
        requestHash: shortHash(crash.identity), peer: crash.start.serverId, count: crashes.countsOf(crash.identity).ownCount, ageMs: Math.round(crash.ageMs)
      })
    }
    for (const answer of notice.answered) crashes.noteAnswer(answer)
    partGuard.takeDeaths(notice.partDeaths)
    partGuard.takeProofs(notice.partProofs)
  },
  sendAll: address => {
    const known = crashes.crashes()
    const partDeaths = partGuard.deaths()
    if (known.length + partDeaths.length > 0) send(address, { type: 'crash', crashes: known, answered: [], partDeaths, partProofs: [] })
  }
})
