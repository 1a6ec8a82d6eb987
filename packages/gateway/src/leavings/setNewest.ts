/** Sets the value of a key, which counts as the newest one from then on, and drops the oldest one beyond the bound. */
export const setNewest = <T>(map: Map<string, T>, key: string, value: T, maxCount: number): void => {
  map.delete(key)
  map.set(key, value)
  const [oldestKey] = map.keys()
  if (map.size > maxCount && oldestKey !== undefined) map.delete(oldestKey)
}
