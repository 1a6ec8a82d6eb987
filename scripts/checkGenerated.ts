/** Fails if the committed code under `packages/schema/src/gen` differs from what `buf generate` produces. */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const GENERATED = 'packages/schema/src/gen'

const folder = mkdtempSync(join(tmpdir(), 'figmount-gen-'))
try {
  execFileSync('npx', ['buf', 'generate', '-o', folder], { stdio: 'inherit' })
  execFileSync('git', ['diff', '--no-index', '--exit-code', join(folder, GENERATED), GENERATED], { stdio: 'inherit' })
  process.stdout.write('generated code is current\n')
} finally {
  rmSync(folder, { recursive: true })
}
