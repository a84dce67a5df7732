// Bundles tsc's output to one CommonJS file. esbuild reads tsc's output because it emits no decorator metadata itself.
import { build } from 'esbuild'

await build({
  entryPoints: ['build/command/src/main.js'],
  outfile: 'dist/jayfall.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  sourcemap: false,
  logLevel: 'warning'
})
