import { GatewayEvent } from '../events.js'

import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

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
  const isTakenUp = route.isResumable && caller.lastEventId !== ''
  let softwareVersion: string | undefined

  const judge = (reason: string, versionCount: number): boolean => {
    const ageMs = context.list.ageMs()
    context.events.emit(GatewayEvent.takeUpJudged, {
      requestKey: caller.requestId,
      item: caller.resumes,
      service: serviceName,
      version: softwareVersion ?? '',
      count: versionCount,
      reason,
      ...(Number.isFinite(ageMs) ? { ageMs: Math.round(ageMs) } : {}),
      ...(context.list.hasStoodStill() ? { detail: 'the process has stood still since its list was read' } : {})
    })
    if (softwareVersion === undefined) context.metrics.count('take_ups_unknown_total')
    return softwareVersion !== undefined
  }

  return {
    resolve: async () => {
      if (!isTakenUp) return true
      const { directory, origins } = context
      const mayBeSeveral = directory.versionsOf(serviceName).size > 1 || !directory.knowsVersions()
      const found = mayBeSeveral && caller.resumes !== '' ? await origins.find(caller.resumes, serviceName) : undefined
      const versions = directory.versionsOf(serviceName)
      const lone = directory.loneVersionOf(serviceName)
      if (found?.type === 'known') {
        softwareVersion = found.softwareVersion
        return judge('its origin is known', versions.size)
      }
      // An empty memory is no fact: a router that has just started does not know what has gone before.
      if (!directory.knowsVersions()) return judge('the versions of late are not known yet', versions.size)
      if (versions.size <= 1) {
        softwareVersion = [...versions][0]
        judge('one version is known', versions.size)
        return true
      }
      // Streams that began beside several versions are told to agents. One that nobody was told of began before.
      if (found && lone && found.rememberedForMs >= lone.othersForMs) softwareVersion = lone.softwareVersion
      return judge(softwareVersion === undefined ? 'nobody knows its origin' : 'it began before other versions came', versions.size)
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
