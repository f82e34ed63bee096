const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

/**
 * Starts the bundled router from its compiled form: `redwing-router.cjs [settings file] [--own file]`. After all instances
 * were killed nobody serves until the first has started, and compiling took a third of that time. A
 * compiled form that does not fit this Node is left aside by it; the source decides.
 */

const SOURCE = join(__dirname, 'router.bundle');
const COMPILED = join(__dirname, 'router.compiled');

function readCompiled() {
  try {
    return readFileSync(COMPILED);
  } catch (error) {
    process.stderr.write(`compiling anew: ${error.message}\n`);
    return undefined;
  }
}

const script = new Script(readFileSync(SOURCE, 'utf8'), {
  filename: SOURCE,
  cachedData: readCompiled(),
});
if (script.cachedDataRejected) {
  process.stderr.write('the compiled form does not fit; compiling anew\n');
}
const bundle = {exports: {}};
script.runInThisContext()(bundle.exports, require, bundle);
void bundle.exports.runRouter(process.argv.slice(2));
