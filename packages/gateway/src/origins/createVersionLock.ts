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
    context.events.emit(GatewayEvent.takeUpJudged, { requestKey: caller.requestId, item: caller.resumes, service: serviceName, version: softwareVersion ?? '', count: versionCount, reason })
    return softwareVersion !== undefined
  }

  return {
    resolve: async () => {
      if (!isTakenUp) return true
      const versions = context.directory.versionsOf(serviceName)
      const mayBeOthers = versions.size > 1 || !context.directory.knowsVersions()
      if (mayBeOthers && caller.resumes !== '') softwareVersion = await context.origins.find(caller.resumes, serviceName)
      if (softwareVersion !== undefined) return judge('its origin is known', versions.size)
      if (versions.size > 1) return judge('nobody knows its origin', versions.size)
      softwareVersion = [...versions][0]
      judge('one version is known', versions.size)
      return true
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
