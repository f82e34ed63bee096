// Without listeners, a signal would end the process. Node.js calls listeners only once this file has run; by then,
// the bundle has set its own, which receive the signals that came meanwhile.
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.on(signal, () => undefined);
}

const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

/**
 * Starts the bundled router with its V8 code cache: `redwing-router.cjs [settings file] [--own file]`. After all
 * instances were killed, no requests are served until the first one has started, and compiling took a third of that
 * time. Node.js rejects a code cache that doesn't match it and compiles the source instead.
 */

const SOURCE_FILE = join(__dirname, 'router.bundle');
const CODE_CACHE_FILE = join(__dirname, 'router.compiled');

function readCodeCache() {
  try {
    return readFileSync(CODE_CACHE_FILE);
  } catch (error) {
    process.stderr.write(
      `code cache not readable, compiling the source: ${error.message}\n`,
    );
    return undefined;
  }
}

const script = new Script(readFileSync(SOURCE_FILE, 'utf8'), {
  filename: SOURCE_FILE,
  cachedData: readCodeCache(),
});
if (script.cachedDataRejected) {
  process.stderr.write(
    'code cache rejected by Node.js, compiling the source\n',
  );
}
const bundle = {exports: {}};
script.runInThisContext()(bundle.exports, require, bundle);
void bundle.exports.runRouter(process.argv.slice(2));
