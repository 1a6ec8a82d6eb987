import type { TimerService } from '@figmount/base'
import type { Directory } from '../directory/types.js'
import type { RecordedVersions } from './versionRecords.js'

/** The software versions of all listed services, as a router would record them; none before it has read the list. */
export const listVersions = (directory: Directory, timers: TimerService): readonly RecordedVersions[] => {
  if (!directory.hasList()) return []
  const serviceNames = new Set(directory.entries().map(({ serviceName }) => serviceName))
  return [...serviceNames].map(serviceName => {
    const softwareVersions = [...directory.versionsOf(serviceName)].sort()
    const lone = softwareVersions.length > 1 ? directory.loneVersionOf(serviceName) : undefined
    return {
      serviceName,
      softwareVersions,
      lone: lone && { softwareVersion: lone.softwareVersion, untilUnixMs: timers.unixMs() - lone.othersForMs }
    }
  })
}
