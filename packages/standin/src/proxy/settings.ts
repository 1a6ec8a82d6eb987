import * as z from 'zod'

/** Settings of the fault-injecting TCP proxy. */
export const proxySettings = z.strictObject({
  kind: z.literal('proxy'),
  /** host:port that connections are passed on to; may be set later through the control surface. */
  target: z.string().default(''),
  /** Port of the control surface; the proxied port takes no HTTP of its own. */
  control_port: z.coerce.number().int().min(0).max(65535).default(0)
})

export type ProxySettings = Readonly<z.infer<typeof proxySettings>>
