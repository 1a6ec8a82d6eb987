import type { Suspect } from '@figmount/records'

/** How a request stands after earlier deaths of engines. */
export type Suspicion = 'none' | 'suspect' | 'convicted'

/**
 * Judges a request by the deaths that it was in flight at.
 *
 * Guards against a request that crashes every engine that runs it: shows as deaths of several engines with
 * one fingerprint in common. A first death makes suspects of all that were in flight; a suspect runs alone, so a
 * second death while alone can only be its own doing, and a bystander's run clears it.
 */
export const judgeSuspect = (suspect: Suspect | undefined): Suspicion => {
  if (!suspect || suspect.deaths.length === 0) return 'none'
  const [, ...later] = suspect.deaths
  return later.some(death => death.alone) ? 'convicted' : 'suspect'
}
