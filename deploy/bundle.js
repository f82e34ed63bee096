import {Buffer} from 'node:buffer';
import {copyFileSync, readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {resolve} from 'node:path';
import {Script} from 'node:vm';

import {build} from 'esbuild';

/**
 * Bundles the router for the platform into `target`: `router.bundle`, a function of `exports`, `require` and
 * `module`; `router.compiled`, its V8 code cache behind a digest; `redwing-router.cjs`, which checks the digest and
 * starts the router. Node.js accepts a code cache only under the options with which it was created, so this script must
 * run with those of `deploy/system.toml`.
 */

const {digestOf} = createRequire(import.meta.url)('./codeCacheDigest.cjs');

const BUNDLE = resolve('target/router.bundle');
const ABSENT = resolve('deploy/absentModule.cjs');
const ASSERT = resolve('deploy/assert.cjs');

/** Creates the code cache after loading the bundle once, so that it includes the functions that run on load. */
function createCodeCache() {
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
  // Log lines of unexpected errors contain names of functions and classes.
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
    assert: ASSERT,
    'node:assert': ASSERT,
    'dtrace-provider': ABSENT,
    mv: ABSENT,
    'source-map-support': ABSENT,
  },
});
const codeCache = createCodeCache();
const digest = digestOf(readFileSync(BUNDLE), codeCache);
writeFileSync('target/router.compiled', Buffer.concat([digest, codeCache]));
copyFileSync('deploy/codeCacheDigest.cjs', 'target/codeCacheDigest.cjs');
copyFileSync('deploy/launch.cjs', 'target/redwing-router.cjs');
