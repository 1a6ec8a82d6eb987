import * as z from 'zod'

import { engineSettings } from '../engine/settings.js'
import { instancesSettings } from '../instances/settings.js'
import { logSettings } from '../log/settings.js'
import { plainSettings } from '../plain/settings.js'
import { proxySettings } from '../proxy/settings.js'
import { weightsSettings } from '../weights/settings.js'

/** Settings of `figmount-standin`; `kind` in `[standin]` selects the stand-in. */
export const standinSettings = z.strictObject({
  process: z.strictObject({
    instance: z.string().min(1, 'a name'),
    host: z.string().default('127.0.0.1'),
    port: z.coerce.number().int().min(0).max(65535).default(0)
  }),
  standin: z.discriminatedUnion('kind', [
    logSettings, instancesSettings, weightsSettings, engineSettings, plainSettings, proxySettings
  ])
})

export type StandinSettings = Readonly<z.infer<typeof standinSettings>>
