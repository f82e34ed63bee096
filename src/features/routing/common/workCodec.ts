import {z} from 'zod';

import {workRowSchema} from './cellSchemas.js';
import {WorkEstimate} from './routing.js';

/** Converts estimates of work to positional rows and back. */

/** Encodes an estimate. Fields that are often absent come last, so that they can be cut off. */
export function encodeWork(work: WorkEstimate): z.input<typeof workRowSchema> {
  return [
    work.requestId,
    work.classOfWork,
    work.clientAccount,
    work.promptTokens,
    work.outputTokens,
    work.firstTokenWithinMilliseconds,
    work.betweenTokensTargetMilliseconds,
    work.deadlineWithinMilliseconds,
    work.priority,
    ...trimTrailingNulls([
      work.prefixKey ?? null,
      work.prefixTokens ?? null,
      work.adapter ?? null,
      work.version ?? null,
      work.inProgress ?? null,
    ] as const),
  ];
}

/** Decodes a row that its schema has accepted. */
export function decodeWork(row: z.output<typeof workRowSchema>): WorkEstimate {
  const [requestId, classOfWork, clientAccount, promptTokens, ...others] = row;
  const [outputTokens, firstTokenWithin, betweenTokensTarget, ...rest] = others;
  const [deadlineWithin, priority, prefixKey, prefixTokens, ...optionalFields] =
    rest;
  const [adapter, version, inProgress] = optionalFields;
  return {
    requestId,
    classOfWork,
    clientAccount,
    adapter: adapter ?? undefined,
    promptTokens,
    outputTokens,
    prefixKey: prefixKey ?? undefined,
    prefixTokens: prefixTokens ?? undefined,
    version: version ?? undefined,
    firstTokenWithinMilliseconds: firstTokenWithin,
    betweenTokensTargetMilliseconds: betweenTokensTarget,
    deadlineWithinMilliseconds: deadlineWithin,
    priority,
    inProgress: inProgress ?? undefined,
  };
}

type OptionalWorkFields = readonly [
  (string | null)?,
  (number | null)?,
  (string | null)?,
  (string | null)?,
  (boolean | null)?,
];

/** Cuts off the nulls at the end of a row. */
function trimTrailingNulls(row: OptionalWorkFields): OptionalWorkFields {
  const lastIndex = row.findLastIndex(value => value !== null);
  return row.slice(0, lastIndex + 1) as unknown as OptionalWorkFields;
}
