// Without listeners, a signal would end the process. Node.js calls listeners only once this file has run; by then,
// the bundle has set its own, which receive the signals that came meanwhile.
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.on(signal, () => undefined);
}

const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');
const {DIGEST_BYTES, digestOf} = require('./codeCacheDigest.cjs');

/**
 * Starts the bundled router with its V8 code cache: `redwing-router.cjs [settings file] [--own file]`. After all
 * instances were killed, no requests are served until the first one has started, and compiling took a third of that
 * time. A code cache that is spoiled or doesn't match Node.js is left out, and the source compiled instead.
 */

const SOURCE_FILE = join(__dirname, 'router.bundle');
const CODE_CACHE_FILE = join(__dirname, 'router.compiled');

function readCodeCache(source) {
  try {
    const file = readFileSync(CODE_CACHE_FILE);
    const codeCache = file.subarray(DIGEST_BYTES);
    if (file.subarray(0, DIGEST_BYTES).equals(digestOf(source, codeCache))) {
      return codeCache;
    }
    process.stderr.write(
      'code cache spoiled or of another build, compiling the source\n',
    );
  } catch (error) {
    process.stderr.write(
      `code cache not readable, compiling the source: ${error.message}\n`,
    );
  }
  return undefined;
}

const source = readFileSync(SOURCE_FILE);
const script = new Script(source.toString('utf8'), {
  filename: SOURCE_FILE,
  cachedData: readCodeCache(source),
});
if (script.cachedDataRejected) {
  process.stderr.write(
    'code cache rejected by Node.js, compiling the source\n',
  );
}
const bundle = {exports: {}};
script.runInThisContext()(bundle.exports, require, bundle);
void bundle.exports.runRouter(process.argv.slice(2));
