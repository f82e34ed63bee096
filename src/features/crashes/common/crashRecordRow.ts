import * as zod from 'zod';

import {
  CrashRecord,
  EvidenceRecord,
  PartTime,
  RECORDED_CRASHES,
  RECORDED_PART_TIMES,
  RECORDED_PARTS_PER_PROMPT,
  RECORDED_REQUESTS_PER_CRASH,
} from './crashRecord.js';

/** The row that holds the record of crashes: JSON with the number of its format, times in milliseconds of the platform's clock. */

/** Increases when older releases can't read the row any more. */
const FORMAT = 1;

const MAX_NAME_CHARACTERS = 200;

/** What the value of a row is. */
export type ParsedRecordRow =
  | {readonly kind: 'record'; readonly record: CrashRecord}
  /** Written by a later release, which must not be overwritten. */
  | {readonly kind: 'newerFormat'; readonly format: number}
  | {readonly kind: 'malformed'; readonly field: string};

const text = zod.string().max(MAX_NAME_CHARACTERS);

const time = zod.number();

const partTimes: zod.ZodType<readonly PartTime[]> = zod
  .array(zod.object({part: text, at: time}))
  .max(RECORDED_PART_TIMES);

const evidence: zod.ZodType<EvidenceRecord> = zod.object({
  crashes: zod
    .array(
      zod.object({
        upstream: text,
        at: time,
        requests: zod
          .array(
            zod.object({
              request: text,
              account: text,
              promptParts: zod
                .array(text)
                .min(1)
                .max(RECORDED_PARTS_PER_PROMPT),
            }),
          )
          .min(1)
          .max(RECORDED_REQUESTS_PER_CRASH),
      }),
    )
    .max(RECORDED_CRASHES),
  soundParts: partTimes,
  anySoundAt: time.optional(),
});

/** Validates a record of another process. */
export const crashRecordSchema: zod.ZodType<CrashRecord> = zod.object({
  early: evidence,
  late: evidence,
  lateShared: evidence,
  trials: partTimes,
  forgottenUntil: time.optional(),
});

const formatSchema = zod.object({format: zod.int().positive()});

/** Returns the value of the row for a record; equal records have equal values. */
export function formatRecordRow(record: CrashRecord): string {
  return JSON.stringify({format: FORMAT, ...record});
}

/** Parses the value of the row, whoever wrote it. */
export function parseRecordRow(value: string): ParsedRecordRow {
  const json = parseJson(value);
  const format = formatSchema.safeParse(json);
  if (format.success && format.data.format > FORMAT) {
    return {kind: 'newerFormat', format: format.data.format};
  }
  const record = crashRecordSchema.safeParse(json);
  if (!format.success || !record.success) {
    const [issue] = (format.error ?? record.error)?.issues ?? [];
    return {kind: 'malformed', field: issue?.path.join('.') ?? ''};
  }
  return {kind: 'record', record: record.data};
}

function parseJson(value: string): unknown {
  try {
    return JSON.parse(value);
  } catch {
    // The schemas reject undefined, so the row is reported as malformed.
    return undefined;
  }
}
