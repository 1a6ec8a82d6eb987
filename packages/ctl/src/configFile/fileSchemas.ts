import * as z from 'zod'

const BLANK = /^\s*$/

/** A comma-separated list. */
const list = z.string().transform(text => BLANK.test(text) ? [] : text.split(',').map(part => part.trim()))

/** Comma-separated pairs of the form `name:number`. */
const numbersByName = z.string().transform((text, context) => {
  const numbers: Record<string, number> = {}
  for (const part of text.split(',')) {
    const [name = '', value = '', ...rest] = part.split(':').map(field => field.trim())
    if (rest.length > 0 || name === '' || value === '' || !Number.isFinite(Number(value))) {
      context.addIssue({ code: 'custom', message: 'name:number pairs with commas between them' })
      return z.NEVER
    }
    numbers[name] = Number(value)
  }
  return numbers
})

const wholeNumber = z.string().regex(/^\d+$/, 'a whole number').transform(Number)
const decimal = z.string().regex(/^\d+(\.\d+)?$/, 'a number').transform(Number)

/** Keys of a `[service/<name>]` section. */
export const serviceSection = z.strictObject({
  kind: z.enum(['models', 'plain'], 'models or plain').default('models'),
  priorities: numbersByName.optional(),
  idle_cost_weight: decimal.optional()
})

/** Keys of a `[service/<name>/model/<name>]` section. */
export const modelSection = z.strictObject({
  versions: list,
  current_version: z.string('a version'),
  min_replicas: wholeNumber.default(0),
  max_replicas: wholeNumber.default(1),
  memory_mb: wholeNumber,
  checkpoint_mb: wholeNumber.optional()
})

/** Keys of a `[service/<name>/model/<name>/adapter/<name>]` section. */
export const adapterSection = z.strictObject({
  memory_mb: wholeNumber,
  max_replicas: wholeNumber.optional()
})

/** Keys of a `[caller/<name>]` section. A file contains only the hash of the caller's key, never the key. */
export const callerSection = z.strictObject({
  kind: z.string('a kind of caller'),
  key_sha256: z.string('64 hexadecimal digits'),
  share: decimal.optional(),
  tenant: z.string().optional()
})
