import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

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
  }
]
