// Builds the single executable dist/jayfall from the bundle and this machine's Node.js.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, readFileSync, writeFileSync } from 'node:fs'
import { inject } from 'postject'

const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

writeFileSync('dist/sea-config.json', JSON.stringify({
  main: 'dist/jayfall.cjs',
  output: 'dist/jayfall.blob',
  disableExperimentalSEAWarning: true,
  // Worker threads are started from this copy of the bundle.
  assets: { 'jayfall.cjs': 'dist/jayfall.cjs' }
}))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea-config.json'], { stdio: 'inherit' })
copyFileSync(process.execPath, 'dist/jayfall')
chmodSync('dist/jayfall', 0o755)
await inject('dist/jayfall', 'NODE_SEA_BLOB', readFileSync('dist/jayfall.blob'), { sentinelFuse: SENTINEL_FUSE })
