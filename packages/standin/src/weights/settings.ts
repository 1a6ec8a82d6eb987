import * as z from 'zod'

/** Settings of the stand-in for the weight store. */
export const weightsSettings = z.strictObject({
  kind: z.literal('weights'),
  loads_per_second: z.coerce.number().positive().default(4),
  /** Number of concurrent transfers that each run at full speed; more transfers share the total. */
  full_speed_count: z.coerce.number().int().positive().default(4),
  /** Full speed of one transfer. */
  transfer_mb_per_second: z.coerce.number().positive().default(20_000)
})

export type WeightsSettings = Readonly<z.infer<typeof weightsSettings>>
