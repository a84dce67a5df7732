// Bundles tsc's output to CommonJS files. esbuild reads tsc's output because it emits no decorator metadata itself.
import { build } from 'esbuild'

const bundles = [
  { entry: 'target/packages/command/src/main.js', file: 'dist/jayfall.cjs' },
  // The entry instance on the users' platform loads only what it uses, as its memory is small.
  { entry: 'target/platform/src/main.js', file: 'target/jayfall-platform.cjs' }
]

// An argument names the only folder to write to.
const [folder = ''] = process.argv.slice(2)

for (const { entry, file } of bundles.filter(({ file }) => file.startsWith(folder))) {
  await build({
    entryPoints: [entry],
    outfile: file,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    sourcemap: false,
    logLevel: 'warning'
  })
}
