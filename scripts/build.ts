/** Builds one bundle per binary under `dist/`. */
import { existsSync } from 'node:fs'

import { bundle } from './bundle.js'

/** Entry file of each binary. */
const BINARIES = {
  'figmount-router': 'packages/router/src/bin.ts',
  'figmount-agent': 'packages/agent/src/bin.ts',
  figmountctl: 'packages/ctl/src/bin.ts',
  'figmount-timeline': 'packages/timeline/src/bin.ts',
  'figmount-load': 'packages/load/src/bin.ts',
  'figmount-standin': 'packages/standin/src/bin.ts',
  'platform/figmount-router': 'platform/src/routerBin.ts',
  'platform/figmount-agent': 'platform/src/agentBin.ts'
} as const

// One build per binary: in a joint build, esbuild moves shared code to chunk files, and every start has to read them one by one.
for (const [name, entry] of Object.entries(BINARIES)) {
  if (existsSync(entry)) await bundle([{ in: entry, out: name }], 'dist')
}
