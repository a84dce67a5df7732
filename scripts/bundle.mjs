// Bundles the programs to CommonJS files.
import { execFileSync } from 'node:child_process'
import { readFileSync, rmSync } from 'node:fs'
import path from 'node:path'
import { build } from 'esbuild'

/** Resolves the packages of this project to their sources, whose unused modules can be left out of a bundle. */
const sources = {
  name: 'sources',
  setup ({ onResolve }) {
    onResolve({ filter: /^#jayfall\// }, ({ path: name }) => ({ path: path.resolve(`packages/${name.slice('#jayfall/'.length)}/src/index.ts`), sideEffects: false }))
    onResolve({ filter: /^\.\// }, ({ path: name, resolveDir, kind }) => kind === 'entry-point' || resolveDir.includes('node_modules') ? undefined : { path: path.resolve(resolveDir, `${name}.ts`), sideEffects: false })
  }
}

const START_FILE = 'target/jayfall-platform.cjs'
const MAIN_FILE = 'target/jayfall-platform-main.cjs'

const bundles = [
  // esbuild emits no decorator metadata, so the command line is bundled from tsc's output.
  { entryPoints: ['target/packages/command/src/main.js'], outfile: 'dist/jayfall.cjs' },
  // The entry instance on the users' platform has little processor time and memory, so it loads only what it uses.
  { entryPoints: ['platform/src/main.ts'], outfile: MAIN_FILE, plugins: [sources], mainFields: ['module', 'main'] },
  { entryPoints: ['platform/src/start.ts'], outfile: START_FILE, plugins: [sources], mainFields: ['module', 'main'] }
]

// An argument names the only folder to write to.
const [folder = ''] = process.argv.slice(2)
const isStartBuilt = START_FILE.startsWith(folder)

// V8 compares only the length of the code with its cache, so a cache must not outlast the code that it was made from.
if (isStartBuilt) rmSync(`${MAIN_FILE}.cache`, { force: true })

for (const bundle of bundles.filter(({ outfile }) => outfile.startsWith(folder))) {
  await build({ ...bundle, bundle: true, platform: 'node', target: 'node20', format: 'cjs', sourcemap: false, logLevel: 'warning' })
}

// V8 accepts a code cache only under the options that it was made with, so those of the deploy file are used.
if (isStartBuilt) {
  const [, options] = /^run = "node (.*) target\/jayfall-platform\.cjs"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
  execFileSync(process.execPath, [...options.split(' '), START_FILE, '--write-code-cache'], { stdio: 'inherit' })
}
