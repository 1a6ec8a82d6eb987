import { chmodSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const EXECUTABLE = 0o755

// Bundled CommonJS dependencies call `require` for Node's built-in modules, which does not exist in ESM output.
const REQUIRE_SHIM = "import { createRequire as figmountRequire } from 'node:module'; const require = figmountRequire(import.meta.url);"

/** An entry file and the name of its bundle without extension. */
export interface BundleEntry {
  readonly in: string
  readonly out: string
}

/**
 * Bundles binaries with all their imports. Dynamic imports go to separate files beside the bundle, so that a start reads
 * only the code it uses.
 */
export const bundle = async (entries: readonly BundleEntry[], outdir: string): Promise<void> => {
  await build({
    entryPoints: [...entries],
    outdir,
    outExtension: { '.js': '.mjs' },
    chunkNames: 'parts/[name]-[hash]',
    bundle: true,
    splitting: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: { js: `#!/usr/bin/env node\n${REQUIRE_SHIM}` },
    external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: 'none',
    // Written beside the bundle; only the profiler of the lab (`npm run lab`) reads it.
    sourcemap: 'external',
    logLevel: 'warning'
  })
  // npx makes a binary executable only when it first sees the clone; after a rebuild the new file could not be run.
  for (const { out } of entries) chmodSync(join(outdir, `${out}.mjs`), EXECUTABLE)
}
