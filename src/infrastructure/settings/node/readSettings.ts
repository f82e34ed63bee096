import {readFileSync} from 'node:fs';

import * as zod from 'zod';

import {Finding} from '../../../base/common/finding.js';
import {Result, failure, success} from '../../../base/common/result.js';
import {parseJsonText} from '../common/jsonText.js';
import {toFindings} from '../common/schemaFindings.js';

/** Reads settings files. Every finding contains the file and the position in it. */

/** The path of findings that concern the whole file. */
const WHOLE_FILE = '$';

/** Reads a JSON settings file and returns all findings together. */
export function readSettings<T>(
  path: string,
  schema: zod.ZodType<T>,
): Result<T, readonly Finding[]> {
  const json = readJsonFile(path);
  if (!json.ok) {
    return json;
  }
  const parsed = schema.safeParse(json.value);
  return parsed.success
    ? success(parsed.data)
    : failure(parsed.error.issues.flatMap(issue => toFindings(issue, path)));
}

/** Reads a JSON file; a syntax error is reported with its line and column. */
export function readJsonFile(
  path: string,
): Result<unknown, readonly Finding[]> {
  const text = readTextFile(path);
  if (!text.ok) {
    return text;
  }
  const json = parseJsonText(text.value);
  if (json.ok) {
    return json;
  }
  const {line, column} = json.error;
  const position = `line ${line}, column ${column}`;
  return failure([
    {source: path, path: position, expected: 'well-formed JSON'},
  ]);
}

/** Reads a secret from a file with a single line. Findings never contain the secret. */
export function readSecretFile(
  path: string,
): Result<string, readonly Finding[]> {
  const text = readTextFile(path);
  if (!text.ok) {
    return text;
  }
  const secret = text.value.trim();
  return /^[\x21-\x7e]+$/.test(secret)
    ? success(secret)
    : failure([
        {source: path, path: WHOLE_FILE, expected: 'one line with the key'},
      ]);
}

function readTextFile(path: string): Result<string, readonly Finding[]> {
  try {
    return success(readFileSync(path, 'utf8'));
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'unknown error';
    const expected = `a readable file (${code})`;
    return failure([{source: path, path: WHOLE_FILE, expected}]);
  }
}
