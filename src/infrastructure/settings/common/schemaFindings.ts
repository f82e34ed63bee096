import * as zod from 'zod';

import {Finding} from '../../../base/common/finding.js';

/** Converts zod issues to findings. */

/** Matches zod's default messages, as opposed to messages that a schema specifies. */
const DEFAULT_MESSAGE = /^(Invalid|Too small|Too big)/;

const UNKNOWN_FIELD_TEXT = 'no such field';

/** Formats a JSON path such as `$.classes[0].name`. */
function formatJsonPath(path: readonly PropertyKey[]): string {
  const steps = path.map(step =>
    typeof step === 'number' ? `[${step}]` : `.${String(step)}`,
  );
  return `$${steps.join('')}`;
}

/** Converts an issue to findings, one for each unknown field. */
export function toFindings(
  issue: zod.core.$ZodIssue,
  source: string,
  unknownField = UNKNOWN_FIELD_TEXT,
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
