import * as zod from 'zod';

import {Finding} from '../../../base/common/finding.js';
import {Result, failure, success} from '../../../base/common/result.js';
import {toFindings} from '../../../infrastructure/settings/common/schemaFindings.js';
import {ConfigurationOperation} from './configuration.js';

/** The schemas of proposals and their operations. Unknown fields are rejected. */

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const METHOD_PATTERN = /^[A-Z]{3,10}$/;
const DAY_MILLISECONDS = 86_400_000;
const REQUESTS_PER_SECOND_LIMIT = 1_000_000;
const LAYER_LIMIT = 10_000;
const ADAPTER_LIMIT = 1_000;
const CALL_LIMIT = 200;
const OPERATION_LIMIT = 1_000;
const TARGETS_ONLY =
  'no such field: operators state targets only, never weights or addresses';

const name = zod
  .string()
  .regex(
    NAME_PATTERN,
    'a name of 1 to 63 letters, digits, ".", "_" or "-", starting with a letter or digit',
  );
const milliseconds = zod
  .number()
  .positive('milliseconds above 0')
  .max(DAY_MILLISECONDS, 'at most one day in milliseconds');

const classSchema = zod.strictObject({
  name,
  firstTokenMilliseconds: milliseconds,
  betweenTokensMilliseconds: milliseconds,
  deadlineMilliseconds: milliseconds,
  requestsPerSecond: zod
    .number()
    .positive('requests per second above 0')
    .max(REQUESTS_PER_SECOND_LIMIT),
  repeatable: zod.boolean(),
});

const clientAccountSchema = zod.strictObject({
  name,
  keyHash: zod
    .string()
    .regex(HASH_PATTERN, 'the hex SHA-256 of the key: 64 digits 0-9a-f'),
});

const modelSchema = zod.strictObject({
  name,
  version: name,
  layerCount: zod.int().min(1, 'at least one layer').max(LAYER_LIMIT),
  adapters: zod.array(name).max(ADAPTER_LIMIT),
});

const serviceSchema = zod.strictObject({
  name,
  calls: zod
    .array(
      zod.strictObject({
        method: zod
          .string()
          .regex(METHOD_PATTERN, 'an HTTP method in upper case'),
        pathPrefix: zod
          .string()
          .max(1_000)
          .startsWith('/', 'a path that starts with "/"'),
        repeatable: zod.boolean(),
      }),
    )
    .max(CALL_LIMIT),
});

const operationSchema = zod.discriminatedUnion('kind', [
  zod.strictObject({kind: zod.literal('setClass'), value: classSchema}),
  zod.strictObject({kind: zod.literal('removeClass'), name}),
  zod.strictObject({
    kind: zod.literal('setClientAccount'),
    value: clientAccountSchema,
  }),
  zod.strictObject({kind: zod.literal('removeClientAccount'), name}),
  zod.strictObject({kind: zod.literal('setModel'), value: modelSchema}),
  zod.strictObject({kind: zod.literal('removeModel'), name}),
  zod.strictObject({kind: zod.literal('setService'), value: serviceSchema}),
  zod.strictObject({kind: zod.literal('removeService'), name}),
]);

const proposalSchema = zod.strictObject({
  operations: zod
    .array(operationSchema)
    .min(1, 'at least one operation')
    .max(OPERATION_LIMIT),
  expectedRevision: zod.int().min(0).optional(),
});

/** A proposal as an operator sends it. */
export interface Proposal {
  readonly operations: readonly ConfigurationOperation[];
  /** The revision that the proposal is based on; not checked if undefined. */
  readonly expectedRevision?: number | undefined;
}

/** Parses a proposal; returns all findings if it is invalid. */
export function parseProposal(
  body: unknown,
  source: string,
): Result<Proposal, readonly Finding[]> {
  const parsed = proposalSchema.safeParse(body);
  if (parsed.success) {
    return success(parsed.data);
  }
  return failure(
    parsed.error.issues.flatMap(issue =>
      toFindings(issue, source, TARGETS_ONLY),
    ),
  );
}
