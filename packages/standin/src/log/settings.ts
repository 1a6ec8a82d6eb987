import * as z from 'zod'

/** Settings of the stand-in for the platform's log. */
export const logSettings = z.strictObject({
  kind: z.literal('log'),
  retention_ms: z.coerce.number().positive().default(3_600_000),
  retention_count: z.coerce.number().int().positive().default(200_000),
  appends_per_second: z.coerce.number().positive().default(300)
})

export type LogSettings = Readonly<z.infer<typeof logSettings>>
