import regexp from 'eslint-plugin-regexp'
import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['target/**', 'node_modules/**', 'dist/**'] }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: { regexp },
    rules: {
      // One line from outside must not keep the only thread busy.
      'regexp/no-super-linear-backtracking': ['error', { report: 'potential' }],
      'regexp/no-super-linear-move': ['error', { report: 'potential' }],
      'max-lines': ['error', { max: 350, skipBlankLines: false, skipComments: false }],
      'no-restricted-imports': ['error', {
        patterns: [{ group: ['#jayfall/*/*'], message: 'Import a package through its public face, #jayfall/<name>.' }]
      }]
    }
  }
]
