import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

/** Which packages each one may import; docs/HOUSE.md says why. Tests may import any. */
const MAY_IMPORT = {
  base: [],
  schema: [],
  timeline: ['base'],
  fleet: ['base'],
  decisions: ['base'],
  records: ['base', 'schema'],
  peers: ['base', 'schema', 'records'],
  gateway: ['base', 'fleet', 'decisions', 'peers'],
  sidecar: ['base', 'fleet', 'decisions', 'peers'],
  standin: ['base', 'schema'],
  client: ['base', 'schema'],
  ctl: ['base', 'schema', 'records', 'timeline'],
  router: ['base', 'schema', 'records', 'peers', 'decisions'],
  agent: ['base', 'schema', 'records', 'peers', 'decisions', 'standin'],
  load: ['base', 'schema', 'client', 'ctl', 'standin'],
  proof: ['base', 'schema', 'timeline', 'standin'],
  capacity: ['base', 'records', 'proof']
}

/** What reaches the platform's names from outside its adapter. */
const ADAPTER = { group: ['**/platform/**', '@figmount/platform'], message: 'Only the adapter knows the platform\'s names.' }

const limitImports = (name, allowed) => ({
  files: [`packages/${name}/src/**/*.ts`],
  ignores: ['**/*.test.ts'],
  rules: {
    'no-restricted-imports': ['error', {
      patterns: [
        ADAPTER,
        { group: ['@figmount/*', ...allowed.map(other => `!@figmount/${other}`)], message: 'See docs/HOUSE.md for what a package may import.' },
        ...(name === 'decisions' ? [{ group: ['node:*'], message: 'Decisions are pure.' }] : [])
      ]
    }]
  }
})

export default [
  ...neostandard({
    ts: true,
    ignores: [...resolveIgnoresFromGitignore(), 'packages/schema/src/gen/**']
  }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      // An `as const` object and the type of its values share a name.
      '@typescript-eslint/no-redeclare': 'off',
      'func-style': ['error', 'expression'],
      'prefer-arrow-callback': 'error',
      'max-lines': ['error', { max: 350 }],
      'max-depth': ['error', 4],
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use an `as const` object.' },
        { selector: "CallExpression[callee.property.name='forEach']", message: 'Use for of.' }
      ]
    }
  },
  ...Object.entries(MAY_IMPORT).map(([name, allowed]) => limitImports(name, allowed))
]
