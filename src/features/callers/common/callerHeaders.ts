import {Finding} from '../../../base/common/finding.js';
import {ClassOfWork} from '../../configuration/common/configuration.js';

/** Reading of the request headers that callers send. */

/** Names of the headers, as documented in docs/CALLERS.md. */
export const headerNames = {
  authorization: 'Authorization',
  idempotencyKey: 'Idempotency-Key',
  classOfWork: 'Redwing-Class',
  deadline: 'Redwing-Deadline-Milliseconds',
  contentType: 'Content-Type',
} as const;

/** Longest Idempotency-Key in characters. */
export const IDEMPOTENCY_KEY_LIMIT = 255;

const HEADER_SOURCE = 'headers';
const KEY_PATTERN = /^[\x21-\x7e]+$/;
const BEARER_PATTERN = /^Bearer +([\x21-\x7e]+) *$/i;
const DEADLINE_PATTERN = /^[0-9]{1,9}$/;

/** Headers by lower-case name; a repeated one is listed apart. */
export interface HeaderIndex {
  readonly values: ReadonlyMap<string, string>;
  readonly duplicates: ReadonlySet<string>;
}

/** What a request's headers state. */
export interface CallerHeaders {
  readonly idempotencyKey: string | undefined;
  /** Whether a key was sent, in the right form or not. */
  readonly hasKey: boolean;
  /** Undefined when findings name the class. */
  readonly classOfWork: ClassOfWork | undefined;
  /** Milliseconds from arrival; undefined when the caller gave none. */
  readonly deadlineMilliseconds: number | undefined;
  readonly contentType: string | undefined;
  readonly findings: readonly Finding[];
}

/** Indexes raw headers (`[name, value, name, value, …]`), so that repeated ones are noticed. */
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

/** Findings about headers that were sent more than once and must not be. */
export function duplicateFindings(headers: HeaderIndex): readonly Finding[] {
  return Object.values(headerNames)
    .filter(name => headers.duplicates.has(name.toLowerCase()))
    .map(name => headerFinding(name, 'sent once, but it was sent repeatedly'));
}

/** The bearer key, or undefined when there is none in the right form. */
export function bearerKey(headers: HeaderIndex): string | undefined {
  const value = headers.values.get('authorization');
  return value === undefined ? undefined : BEARER_PATTERN.exec(value)?.[1];
}

/** Reads the class, deadline and key; findings are collected. */
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

/** The finding for work that may not be repeated and came without a key. */
export function missingKeyFinding(): Finding {
  return headerFinding(
    headerNames.idempotencyKey,
    'a key, because this work may not be repeated',
  );
}

/** The finding for a key that was never used and whose grant no longer counts. */
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
  if (KEY_PATTERN.test(value) && value.length <= IDEMPOTENCY_KEY_LIMIT) {
    return value;
  }
  findings.push(
    headerFinding(
      headerNames.idempotencyKey,
      `1 to ${IDEMPOTENCY_KEY_LIMIT} visible ASCII characters`,
    ),
  );
  return undefined;
}

function headerFinding(name: string, expected: string): Finding {
  return {source: HEADER_SOURCE, path: name, expected};
}
