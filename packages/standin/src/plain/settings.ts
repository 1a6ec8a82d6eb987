import * as z from 'zod'

/** Settings of the stand-in for a plain HTTP service. */
export const plainSettings = z.strictObject({
  kind: z.literal('plain'),
  delay_ms: z.coerce.number().min(0).default(20)
})

export type PlainSettings = Readonly<z.infer<typeof plainSettings>>
