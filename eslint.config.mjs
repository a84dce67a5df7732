import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['build/**', 'node_modules/**', 'dist/**'] }),
  {
    files: ['packages/**/*.ts'],
    rules: {
      'max-lines': ['error', { max: 350, skipBlankLines: false, skipComments: false }],
      'no-restricted-imports': ['error', {
        patterns: [{ group: ['#jayfall/*/*'], message: 'Import a package through its public face, #jayfall/<name>.' }]
      }]
    }
  }
]
