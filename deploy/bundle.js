import {copyFileSync, readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {resolve} from 'node:path';
import {Script} from 'node:vm';

import {build} from 'esbuild';

/**
 * Bundles the router for the platform into `target`: `router.bundle`, a function of `exports`, `require` and
 * `module`; `router.compiled`, its compiled form; `redwing-router.cjs`, which starts it. Node takes a compiled form only with
 * the options under which it was made, so this runs with those of `deploy/system.toml`.
 */

const BUNDLE = resolve('target/router.bundle');
const ABSENT = resolve('deploy/absentModule.cjs');

/** Compiles the bundle after it was loaded once, so that the functions which that runs are included. */
function compile() {
  const script = new Script(readFileSync(BUNDLE, 'utf8'), {filename: BUNDLE});
  const bundle = {exports: {}};
  script.runInThisContext()(bundle.exports, createRequire(BUNDLE), bundle);
  return script.createCachedData();
}

await build({
  entryPoints: ['platform/router.ts'],
  outfile: BUNDLE,
  bundle: true,
  minify: true,
  // Names stand in log lines of unexpected errors.
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  banner: {js: '(function (exports, require, module) {'},
  footer: {js: '})'},
  alias: {
    undici: resolve('deploy/undiciDispatchers.js'),
    'undici/lib': resolve('node_modules/undici/lib'),
    'dtrace-provider': ABSENT,
    mv: ABSENT,
    'source-map-support': ABSENT,
  },
});
writeFileSync('target/router.compiled', compile());
copyFileSync('deploy/launch.cjs', 'target/redwing-router.cjs');
