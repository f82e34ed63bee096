import * as zod from 'zod';

import {Finding} from '../../../base/common/finding.js';

/** Turns what a zod schema objects to into findings. */

/** The library's own messages, in contrast to those that a schema states. */
const DEFAULT_MESSAGE = /^(Invalid|Too small|Too big)/;

/** What is said of a field that the schema doesn't know. */
const UNKNOWN_FIELD = 'no such field';

/** A JSON path such as `$.classes[0].name`. */
function formatJsonPath(path: readonly PropertyKey[]): string {
  const steps = path.map(step =>
    typeof step === 'number' ? `[${step}]` : `.${String(step)}`,
  );
  return `$${steps.join('')}`;
}

/** All findings of one issue; each unknown field is one of its own. */
export function toFindings(
  issue: zod.core.$ZodIssue,
  source: string,
  unknownField = UNKNOWN_FIELD,
): readonly Finding[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      source,
      path: formatJsonPath([...issue.path, key]),
      expected: unknownField,
    }));
  }
  const path = formatJsonPath(issue.path);
  return [{source, path, expected: describeIssue(issue)}];
}

function describeIssue(issue: zod.core.$ZodIssue): string {
  if (!DEFAULT_MESSAGE.test(issue.message)) {
    return issue.message;
  }
  switch (issue.code) {
    case 'invalid_type':
      return isMissing(issue)
        ? `${issue.expected}, but the field is missing`
        : `${issue.expected}`;
    case 'invalid_value':
      return `one of ${issue.values.map(value => String(value)).join(', ')}`;
    case 'too_small':
      return `${issue.inclusive === false ? 'more than' : 'at least'} ${issue.minimum}${unitOf(issue.origin)}`;
    case 'too_big':
      return `${issue.inclusive === false ? 'less than' : 'at most'} ${issue.maximum}${unitOf(issue.origin)}`;
    default:
      return issue.message;
  }
}

function isMissing(issue: zod.core.$ZodIssue): boolean {
  return issue.message.endsWith('received undefined');
}

function unitOf(origin: string): string {
  switch (origin) {
    case 'string':
      return ' characters';
    case 'array':
      return ' entries';
    default:
      return '';
  }
}
