import type { ListedInstance, ListVersion } from './types.js'

/** Adds an instance, replacing the one with the same name. */
export const setInstance = (instances: readonly ListedInstance[], instance: ListedInstance): readonly ListedInstance[] =>
  [...instances.filter(listed => listed.name !== instance.name), instance]

export const removeInstance = (instances: readonly ListedInstance[], name: string): readonly ListedInstance[] =>
  instances.filter(listed => listed.name !== name)

export const markLeaving = (instances: readonly ListedInstance[], name: string): readonly ListedInstance[] =>
  instances.map(listed => listed.name === name ? { ...listed, leaving: true } : listed)

/** Returns the list that readers see now: the newest version that is at least `lagMs` old, else the oldest one. */
export const visibleList = (versions: readonly ListVersion[], lagMs: number, nowMs: number): readonly ListedInstance[] => {
  for (const version of [...versions].reverse()) {
    if (nowMs - version.atMs >= lagMs) return version.instances
  }
  return versions[0]?.instances ?? []
}

/** Removes versions that no reader can see any more. */
export const pruneVersions = (versions: readonly ListVersion[], lagMs: number, nowMs: number): readonly ListVersion[] => {
  const firstVisible = versions.findLastIndex(version => nowMs - version.atMs >= lagMs)
  return firstVisible > 0 ? versions.slice(firstVisible) : versions
}

/** Parses comma-separated entries of the form `name role dataCentre peerAddress [backendAddress]`. */
export const parseInstances = (text: string): readonly ListedInstance[] => {
  const entries = text.split(',').map(entry => entry.trim()).filter(entry => entry !== '')
  return entries.map(entry => {
    const [name = '', role = '', dataCentre = '', peerAddress = '', backendAddress = ''] = entry.split(/\s+/)
    if (role !== 'router' && role !== 'agent') throw new Error(`instance ${name}: role ${role} is neither router nor agent`)
    return { name, role, dataCentre, peerAddress, backendAddress, leaving: false }
  })
}
