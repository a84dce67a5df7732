import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['target/**', 'node_modules/**', 'dist/**'] }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      'max-lines': ['error', { max: 350, skipBlankLines: false, skipComments: false }],
      'no-restricted-imports': ['error', {
        patterns: [{ group: ['#jayfall/*/*'], message: 'Import a package through its public face, #jayfall/<name>.' }]
      }]
    }
  }
]
