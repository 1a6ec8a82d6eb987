import { chmodSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const EXECUTABLE = 0o755

// Bundled CommonJS dependencies call `require` for Node's own modules, which ESM output lacks.
const REQUIRE_SHIM = "import { createRequire as figmountRequire } from 'node:module'; const require = figmountRequire(import.meta.url);"

/** An entry file and the name of its bundle, without extension. */
export interface BundleEntry {
  readonly in: string
  readonly out: string
}

/**
 * Bundles binaries with all that they import. What a binary imports only when it is needed lies in a file of its own beside it, so
 * that a start reads no more than it uses.
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
    // Written beside the bundle and read by the laboratory's profile alone.
    sourcemap: 'external',
    logLevel: 'warning'
  })
  // npx makes a binary executable only when it first meets its clone: one that is built anew is refused.
  for (const { out } of entries) chmodSync(join(outdir, `${out}.mjs`), EXECUTABLE)
}
