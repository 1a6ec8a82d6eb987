import { GatewayEvent } from '../events.js'
import { judgeTakeUp } from './judgeTakeUp.js'

import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'
import type { FoundOrigin } from './createStreamOrigins.js'
import type { TakeUp } from './judgeTakeUp.js'

/** Restricts a stream to the software version that began it. */
export interface VersionLock {
  /** Finds out which version began a stream that its caller takes up again; false if nobody knows, so that no server may go on with it. */
  readonly resolve: () => Promise<boolean>
  readonly mayServe: (server: KnownServer) => boolean
  /** The server has written the first event of the answer. */
  readonly begin: (server: KnownServer) => void
}

/**
 * Creates the lock of one request.
 *
 * Guards against a stream that joins what servers of two versions write: they number their events alike, and do not check.
 */
export const createVersionLock = (context: GatewayContext, { caller, route, serviceName }: RoutedRequest): VersionLock => {
  const { directory, list, origins } = context
  const isTakenUp = route.isResumable && caller.lastEventId !== ''
  let softwareVersion: string | undefined

  const areSeveral = (): boolean => directory.versionsOf(serviceName).size > 1

  const judge = (found: FoundOrigin | undefined, wereSeveral: boolean, isListFresh?: boolean): TakeUp => judgeTakeUp({
    found,
    versions: directory.versionsOf(serviceName),
    wereSeveral,
    knowsVersions: directory.knowsVersions(),
    lone: directory.loneVersionOf(serviceName),
    listAgeMs: list.ageMs(),
    hasStoodStill: list.hasStoodStill(),
    outOfStepAgoMs: list.outOfStepAgoMs(),
    isListFresh
  })

  const log = (reason: string): void => {
    const ageMs = list.ageMs()
    context.events.emit(GatewayEvent.takeUpJudged, {
      requestKey: caller.requestId,
      item: caller.resumes,
      service: serviceName,
      version: softwareVersion ?? '',
      count: directory.versionsOf(serviceName).size,
      reason,
      ...(Number.isFinite(ageMs) ? { ageMs: Math.round(ageMs) } : {}),
      ...(list.hasStoodStill() ? { detail: 'the process has stood still since its list was read' } : {})
    })
    if (softwareVersion === undefined) context.metrics.count('take_ups_unknown_total')
  }

  return {
    resolve: async () => {
      if (!isTakenUp) return true
      const arrivedMs = context.timers.nowMs()
      const wereSeveral = areSeveral()
      const found = caller.resumes === '' ? undefined : await origins.find(caller.resumes, serviceName)
      const first = judge(found, wereSeveral)
      const takeUp = first.type === 'listNeeded' ? judge(found, wereSeveral, await list.readAfter(arrivedMs)) : first
      if (takeUp.type === 'listNeeded') return false
      if (takeUp.type === 'goesOn') softwareVersion = takeUp.softwareVersion
      log(takeUp.reason)
      return takeUp.type === 'goesOn'
    },
    mayServe: server => softwareVersion === undefined || server.entry.softwareVersion === softwareVersion,
    begin: server => {
      softwareVersion ??= server.entry.softwareVersion
      if (!route.isResumable) return
      const streamId = isTakenUp && caller.resumes !== '' ? caller.resumes : caller.requestId
      context.origins.note({ streamId, serviceName, softwareVersion })
    }
  }
}
