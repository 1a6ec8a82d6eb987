import type { RouterNotice } from './types.js'

/** A notice whose ages are those of now. */
export const addAge = (notice: RouterNotice, ageMs: number): RouterNotice => {
  if (notice.type !== 'crash') return notice
  return {
    ...notice,
    crashes: notice.crashes.map(crash => ({ ...crash, ageMs: crash.ageMs + ageMs })),
    answered: notice.answered.map(answer => ({ ...answer, ageMs: answer.ageMs + ageMs }))
  }
}
