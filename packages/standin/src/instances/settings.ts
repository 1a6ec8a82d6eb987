import * as z from 'zod'

/** Settings of the stand-in for the platform's list of instances. */
export const instancesSettings = z.strictObject({
  kind: z.literal('instances'),
  /** Time after which a change of the list is seen. */
  lag_ms: z.coerce.number().min(0).default(0),
  /** `name role dataCentre peerAddress [backendAddress]`, parted by commas. */
  instances: z.string().default('')
})

export type InstancesSettings = Readonly<z.infer<typeof instancesSettings>>
