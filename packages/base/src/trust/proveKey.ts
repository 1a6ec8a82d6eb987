import { createHash, createHmac, timingSafeEqual } from 'node:crypto'

/** Largest clock difference between two processes at which a proof is still accepted. */
const PROOF_WINDOW_MS = 30_000

/** Hash under which the keys of callers and operators are stored. */
export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex')

const computeMac = (sharedKey: string, subject: string, atMs: number): Buffer =>
  createHmac('sha256', sharedKey).update(`${subject}\n${atMs}`).digest()

/** Creates a proof, an HMAC over `subject` and the time, that `subject` has the shared key, without sending the key itself. */
export const makeProof = (sharedKey: string, subject: string, nowUnixMs: number): string =>
  `${nowUnixMs}.${computeMac(sharedKey, subject, nowUnixMs).toString('hex')}`

/** Verifies a proof created by `makeProof`. */
export const checkProof = (sharedKey: string, subject: string, proof: string, nowUnixMs: number): boolean => {
  const [timestampText = '', macText = ''] = proof.split('.')
  const atMs = Number(timestampText)
  if (!Number.isSafeInteger(atMs) || Math.abs(nowUnixMs - atMs) > PROOF_WINDOW_MS) return false
  const expected = computeMac(sharedKey, subject, atMs)
  const received = Buffer.from(macText, 'hex')
  return received.length === expected.length && timingSafeEqual(received, expected)
}
