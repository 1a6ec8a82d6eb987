import * as z from 'zod'

const EMPTY = /^\s*$/

/** A comma-separated list as INI writes it. */
const list = z.string().transform(text => EMPTY.test(text) ? [] : text.split(',').map(part => part.trim()))

/** `kind:number, kind:number` */
const numbersByName = z.string().transform((text, context) => {
  const numbers: Record<string, number> = {}
  for (const part of text.split(',')) {
    const [name = '', value = '', ...rest] = part.split(':').map(piece => piece.trim())
    if (rest.length > 0 || name === '' || value === '' || !Number.isFinite(Number(value))) {
      context.addIssue({ code: 'custom', message: 'name:number pairs with commas between them' })
      return z.NEVER
    }
    numbers[name] = Number(value)
  }
  return numbers
})

const whole = z.string().regex(/^\d+$/, 'a whole number').transform(Number)
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
  min_replicas: whole.default(0),
  max_replicas: whole.default(1),
  memory_mb: whole,
  checkpoint_mb: whole.optional()
})

/** Keys of a `[service/<name>/model/<name>/adapter/<name>]` section. */
export const adapterSection = z.strictObject({
  memory_mb: whole,
  max_replicas: whole.optional()
})

/** Keys of a `[caller/<name>]` section. The key itself is never written to a file. */
export const callerSection = z.strictObject({
  kind: z.string('a kind of caller'),
  key_sha256: z.string('64 hexadecimal digits'),
  share: decimal.optional(),
  tenant: z.string().optional()
})
