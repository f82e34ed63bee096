/**
 * Replaces the assertions of Node.js in the bundle. Node.js builds the message of an assertion without one by parsing the
 * source that made it, which is the whole bundle: 3 s in which no request is served, and a spoiled answer can fail an
 * assertion of the HTTP client.
 */

/** A failed assertion, with the code that Node.js uses. */
class AssertionError extends Error {
  constructor(message) {
    super(message);
    this.name = 'AssertionError';
    this.code = 'ERR_ASSERTION';
  }
}

function assert(value, message = 'assertion failed') {
  if (!value) {
    fail(message);
  }
}

function equal(actual, expected, message = 'values are not equal') {
  assert(actual === expected, message);
}

/** Throws an error that is given instead of a message as it is. */
function fail(message = 'assertion failed') {
  throw message instanceof Error ? message : new AssertionError(message);
}

module.exports = Object.assign(assert, {
  AssertionError,
  equal,
  fail,
  ok: assert,
});
