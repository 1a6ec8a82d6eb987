import * as z from 'zod'

/** Settings of the fault-injecting TCP proxy. */
export const proxySettings = z.strictObject({
  kind: z.literal('proxy'),
  /** host:port that connections are forwarded to; can also be set later through the control API. */
  target: z.string().default(''),
  /** Port of the control API; the proxied port itself serves no HTTP. */
  control_port: z.coerce.number().int().min(0).max(65535).default(0)
})

export type ProxySettings = Readonly<z.infer<typeof proxySettings>>
