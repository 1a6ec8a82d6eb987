import { createHash, createHmac, timingSafeEqual } from 'node:crypto'

/** How far two processes' clocks may differ before a proof is refused. */
const PROOF_WINDOW_MS = 30_000

/** Hash under which callers' and operators' keys are kept. */
export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex')

const macOf = (sharedKey: string, subject: string, atMs: number): Buffer =>
  createHmac('sha256', sharedKey).update(`${subject}\n${atMs}`).digest()

/** Proves to a peer that `subject` knows the shared key, without sending it. */
export const makeProof = (sharedKey: string, subject: string, nowUnixMs: number): string =>
  `${nowUnixMs}.${macOf(sharedKey, subject, nowUnixMs).toString('hex')}`

/** Checks a proof made by `makeProof`. */
export const checkProof = (sharedKey: string, subject: string, proof: string, nowUnixMs: number): boolean => {
  const [atText = '', macText = ''] = proof.split('.')
  const atMs = Number(atText)
  if (!Number.isSafeInteger(atMs) || Math.abs(nowUnixMs - atMs) > PROOF_WINDOW_MS) return false
  const expected = macOf(sharedKey, subject, atMs)
  const given = Buffer.from(macText, 'hex')
  return given.length === expected.length && timingSafeEqual(given, expected)
}
