const {createHash} = require('node:crypto');

/** Length of a digest, which the code cache in its file follows. */
const DIGEST_BYTES = 32;

/**
 * Returns the digest of a source and its code cache on this kind of machine. Node.js compares lengths, versions and
 * options only, and a process that runs a spoiled code cache ends.
 */
function digestOf(source, codeCache) {
  const {arch, platform, version} = process;
  return createHash('sha256')
    .update(`${platform} ${arch} ${version}\n`)
    .update(source)
    .update(codeCache)
    .digest();
}

module.exports = {DIGEST_BYTES, digestOf};
