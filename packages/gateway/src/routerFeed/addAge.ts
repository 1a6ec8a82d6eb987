import type { PartProof, PartRun } from '@figmount/fleet'
import type { RouterNotice } from './types.js'

/** A notice whose ages are those of now. */
export const addAge = (notice: RouterNotice, ageMs: number): RouterNotice => {
  if (notice.type !== 'crash') return notice
  const ageProof = (proof: PartProof): PartProof => ({ ...proof, sentAgeMs: proof.sentAgeMs + ageMs })
  const ageRun = (run: PartRun): PartRun => {
    const { sentAgeMs, provenAgeMs } = run
    return { ...run, sentAgeMs: sentAgeMs + ageMs, provenAgeMs: provenAgeMs === undefined ? undefined : provenAgeMs + ageMs }
  }
  return {
    ...notice,
    crashes: notice.crashes.map(crash => ({ ...crash, ageMs: crash.ageMs + ageMs })),
    answered: notice.answered.map(answer => ({ ...answer, ageMs: answer.ageMs + ageMs })),
    partDeaths: notice.partDeaths.map(death => ({ ...death, ageMs: death.ageMs + ageMs, parts: death.parts.map(ageRun) })),
    partProofs: notice.partProofs.map(ageProof)
  }
}
