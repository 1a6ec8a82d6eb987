/** Bundles each binary into one file under `dist/`. */
import { existsSync } from 'node:fs'
import { build } from 'esbuild'

/** Binary name and its entry file. */
const BINARIES = {
  'figmount-router': 'packages/router/src/bin.ts',
  'figmount-agent': 'packages/agent/src/bin.ts',
  figmountctl: 'packages/ctl/src/bin.ts',
  'figmount-timeline': 'packages/timeline/src/bin.ts',
  'figmount-load': 'packages/load/src/bin.ts',
  'figmount-standin': 'packages/standin/src/bin.ts'
} as const

// Bundled CommonJS dependencies call `require` for Node's own modules, which ESM output lacks.
const REQUIRE_SHIM = "import { createRequire as figmountRequire } from 'node:module'; const require = figmountRequire(import.meta.url);"

for (const [name, entry] of Object.entries(BINARIES)) {
  if (!existsSync(entry)) continue
  await build({
    entryPoints: [entry],
    outfile: `dist/${name}.mjs`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: { js: `#!/usr/bin/env node\n${REQUIRE_SHIM}` },
    external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: 'none',
    logLevel: 'warning'
  })
}
