import * as z from 'zod'

/** Settings of the stand-in for the platform's list of instances. */
export const instancesSettings = z.strictObject({
  kind: z.literal('instances'),
  /** Time after which readers see a change of the list. */
  lag_ms: z.coerce.number().min(0).default(0),
  /** Comma-separated entries `name role dataCentre peerAddress [backendAddress]`. */
  instances: z.string().default('')
})

export type InstancesSettings = Readonly<z.infer<typeof instancesSettings>>
