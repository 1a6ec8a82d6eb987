import * as z from 'zod'

/** Settings of the stand-in for the weight store. */
export const weightsSettings = z.strictObject({
  kind: z.literal('weights'),
  loads_per_second: z.coerce.number().positive().default(4),
  /** Transfers that run at full speed side by side; more of them share that speed. */
  full_speed_count: z.coerce.number().int().positive().default(4),
  /** Speed of one transfer at full speed. */
  transfer_mb_per_second: z.coerce.number().positive().default(20_000)
})

export type WeightsSettings = Readonly<z.infer<typeof weightsSettings>>
