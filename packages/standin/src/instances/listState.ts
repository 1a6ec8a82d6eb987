import type { ListedInstance, ListVersion } from './types.js'

/** Adds an instance or puts it in the place of the one with its name. */
export const setInstance = (instances: readonly ListedInstance[], instance: ListedInstance): readonly ListedInstance[] =>
  [...instances.filter(listed => listed.name !== instance.name), instance]

export const removeInstance = (instances: readonly ListedInstance[], name: string): readonly ListedInstance[] =>
  instances.filter(listed => listed.name !== name)

export const markLeaving = (instances: readonly ListedInstance[], name: string): readonly ListedInstance[] =>
  instances.map(listed => listed.name === name ? { ...listed, leaving: true } : listed)

/** The list that a reader sees now: the newest version that is at least `lagMs` old, else the first. */
export const visibleList = (versions: readonly ListVersion[], lagMs: number, nowMs: number): readonly ListedInstance[] => {
  for (const version of [...versions].reverse()) {
    if (nowMs - version.atMs >= lagMs) return version.instances
  }
  return versions[0]?.instances ?? []
}

/** Forgets versions that no reader can see any more. */
export const pruneVersions = (versions: readonly ListVersion[], lagMs: number, nowMs: number): readonly ListVersion[] => {
  const firstNeeded = versions.findLastIndex(version => nowMs - version.atMs >= lagMs)
  return firstNeeded > 0 ? versions.slice(firstNeeded) : versions
}

/** Reads `name role dataCentre peerAddress [backendAddress]`, several parted by commas. */
export const parseInstances = (text: string): readonly ListedInstance[] => {
  const entries = text.split(',').map(entry => entry.trim()).filter(entry => entry !== '')
  return entries.map(entry => {
    const [name = '', role = '', dataCentre = '', peerAddress = '', backendAddress = ''] = entry.split(/\s+/)
    if (role !== 'router' && role !== 'agent') throw new Error(`instance ${name}: role ${role} is neither router nor agent`)
    return { name, role, dataCentre, peerAddress, backendAddress, leaving: false }
  })
}
