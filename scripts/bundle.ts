import { build } from 'esbuild'

// Bundled CommonJS dependencies call `require` for Node's own modules, which ESM output lacks.
const REQUIRE_SHIM = "import { createRequire as figmountRequire } from 'node:module'; const require = figmountRequire(import.meta.url);"

/** Bundles a binary's entry file and all that it imports into one file. */
export const bundle = async (entry: string, outfile: string): Promise<void> => {
  await build({
    entryPoints: [entry],
    outfile,
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
