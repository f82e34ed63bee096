import {Finding} from '../../../base/common/finding.js';
import {ClassOfWork} from '../../configuration/common/configuration.js';

/** Parses and validates the headers of caller requests. */

/** Header names, as documented in docs/CALLERS.md. */
export const headerNames = {
  authorization: 'Authorization',
  idempotencyKey: 'Idempotency-Key',
  classOfWork: 'Redwing-Class',
  deadline: 'Redwing-Deadline-Milliseconds',
  contentType: 'Content-Type',
} as const;

/** Maximum length of an Idempotency-Key in characters. */
export const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

const HEADER_SOURCE = 'headers';
const KEY_PATTERN = /^[\x21-\x7e]+$/;
const BEARER_PATTERN = /^Bearer +([\x21-\x7e]+) *$/i;
const DEADLINE_PATTERN = /^[0-9]{1,9}$/;

/** Headers by lower-case name, and the names of those sent more than once. */
export interface HeaderIndex {
  readonly values: ReadonlyMap<string, string>;
  readonly duplicates: ReadonlySet<string>;
}

/** The parsed headers of a request. */
export interface CallerHeaders {
  readonly idempotencyKey: string | undefined;
  /** Whether a key was sent, valid or not. */
  readonly hasKey: boolean;
  /** Undefined when the class is missing or unknown; `findings` then reports it. */
  readonly classOfWork: ClassOfWork | undefined;
  /** Milliseconds from arrival; undefined when the caller sent none. */
  readonly deadlineMilliseconds: number | undefined;
  readonly contentType: string | undefined;
  readonly findings: readonly Finding[];
}

/**
 * Indexes raw headers (`[name, value, name, value, …]`). Node's parsed `headers` merge or drop repeated
 * headers, which would hide duplicates.
 */
export function indexHeaders(rawHeaders: readonly string[]): HeaderIndex {
  const values = new Map<string, string>();
  const duplicates = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (values.has(name)) {
      duplicates.add(name);
    }
    values.set(name, rawHeaders[index + 1]!);
  }
  return {values, duplicates};
}

/** Returns a finding for each header of this API that was sent more than once. */
export function duplicateFindings(headers: HeaderIndex): readonly Finding[] {
  return Object.values(headerNames)
    .filter(name => headers.duplicates.has(name.toLowerCase()))
    .map(name => headerFinding(name, 'sent once, but it was sent repeatedly'));
}

/** Returns the bearer key, or undefined when it is missing or malformed. */
export function bearerKey(headers: HeaderIndex): string | undefined {
  const value = headers.values.get('authorization');
  return value === undefined ? undefined : BEARER_PATTERN.exec(value)?.[1];
}

/** Parses the class, deadline and key; `findings` holds all errors. */
export function readCallerHeaders(
  headers: HeaderIndex,
  classes: Readonly<Record<string, ClassOfWork>>,
): CallerHeaders {
  const findings: Finding[] = [];
  const get = (name: string) => headers.values.get(name.toLowerCase());
  return {
    classOfWork: readClass(get(headerNames.classOfWork), classes, findings),
    deadlineMilliseconds: readDeadline(get(headerNames.deadline), findings),
    idempotencyKey: readKey(get(headerNames.idempotencyKey), findings),
    hasKey: get(headerNames.idempotencyKey) !== undefined,
    contentType: get(headerNames.contentType),
    findings,
  };
}

/** The finding for non-repeatable work that was sent without a key. */
export function missingKeyFinding(): Finding {
  return headerFinding(
    headerNames.idempotencyKey,
    'a key, because this work may not be repeated',
  );
}

/** The finding for an unused key whose grant is no longer valid. */
export function expiredGrantFinding(detail: string): Finding {
  return headerFinding(
    headerNames.idempotencyKey,
    `a key with a grant that is in force (${detail}); ask for a new grant at GET /v1/entrypoints`,
  );
}

function readClass(
  value: string | undefined,
  classes: Readonly<Record<string, ClassOfWork>>,
  findings: Finding[],
): ClassOfWork | undefined {
  if (value !== undefined && Object.hasOwn(classes, value)) {
    return classes[value];
  }
  findings.push(
    headerFinding(headerNames.classOfWork, 'the name of a class of work'),
  );
  return undefined;
}

function readDeadline(
  value: string | undefined,
  findings: Finding[],
): number | undefined {
  if (value === undefined) {
    return undefined;
  }
  const milliseconds = Number(value);
  if (DEADLINE_PATTERN.test(value) && milliseconds > 0) {
    return milliseconds;
  }
  findings.push(
    headerFinding(
      headerNames.deadline,
      'a whole number of milliseconds over 0',
    ),
  );
  return undefined;
}

function readKey(
  value: string | undefined,
  findings: Finding[],
): string | undefined {
  if (value === undefined) {
    return undefined;
  }
  if (KEY_PATTERN.test(value) && value.length <= MAX_IDEMPOTENCY_KEY_LENGTH) {
    return value;
  }
  findings.push(
    headerFinding(
      headerNames.idempotencyKey,
      `1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} visible ASCII characters`,
    ),
  );
  return undefined;
}

function headerFinding(name: string, expected: string): Finding {
  return {source: HEADER_SOURCE, path: name, expected};
}
