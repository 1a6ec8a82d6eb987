import * as z from 'zod'

/** Settings of `figmountctl`: router addresses and the operator's key. */
export const ctlSettings = z.strictObject({
  routers: z.strictObject({
    addresses: z.string('host:port, with commas between several')
      .transform(text => text.split(',').map(address => address.trim()))
  }),
  operator: z.strictObject({ key: z.string('the operator key').min(1) })
})

export type CtlSettings = Readonly<z.infer<typeof ctlSettings>>
