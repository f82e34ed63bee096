import {z} from 'zod';

/** Schemas of the positional rows in which peers send messages about cells. */

/** Stage outcomes; the array index is the value on the wire. */
export const stageOutcomes = [
  'completed',
  'failed',
  'refused',
  'silent',
  'cancelled',
] as const;

/** Refusal reasons; the array index is the value on the wire. */
export const refusalReasons = [
  'cannotMeetTarget',
  'overShare',
  'noUpstream',
] as const;

const MAXIMUM_RELEASES = 1024;

/** Accepts an index of `values`. */
function indexSchema(values: readonly string[]) {
  return z
    .number()
    .int()
    .min(0)
    .max(values.length - 1);
}

/** A work estimate: required fields, then optional ones, which can be cut off at the end. */
export const workRowSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.string().nullable().optional(),
  z.number().nullable().optional(),
  z.string().nullable().optional(),
  z.string().nullable().optional(),
  z.boolean().nullable().optional(),
]);

/** Upstream, outcome, steps, milliseconds of a decode step and of a hop (null if not measured). */
const observationRowSchema = z.tuple([
  z.string(),
  indexSchema(stageOutcomes),
  z.number(),
  z.number().nullable(),
  z.number().nullable(),
]);

/** Cell, reservation id and observations of the stages. */
export const releaseRowSchema = z.tuple([
  z.string(),
  z.string(),
  z.array(observationRowSchema),
]);

/** The releases in one message. */
export const releaseRowsSchema = z
  .array(releaseRowSchema)
  .max(MAXIMUM_RELEASES);

/** Cell, model, reservation id, work, excluded upstreams and releases. */
export const reserveRowSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  workRowSchema,
  z.array(z.string()),
  releaseRowsSchema,
]);

/** Id of the reservation to replace, then the call that replaces it. */
export const replanRowSchema = z.tuple([z.string(), reserveRowSchema]);

/** Cell, reservation id and the observation of one stage. */
export const failureRowSchema = z.tuple([
  z.string(),
  z.string(),
  observationRowSchema,
]);

/** Cell, model, free slots, earliest start and age of the summary, both in milliseconds. */
export const summaryRowSchema = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
]);

export const summaryRowsSchema = z.array(summaryRowSchema);

/** Upstream, address, first layer, end layer (exclusive), flags (`StageFlag` of the codec) and version. */
const stageRowSchema = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.string().nullable(),
]);

/** Milliseconds to the start, to the first token, between tokens and in total; load data age, null if infinite. */
const predictionRowSchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number().nullable(),
]);

/** 0, stages, prediction, candidates, reason and summaries; or 1, refusal reason, retry delay and summaries. */
export const responseRowSchema = z.union([
  z.tuple([
    z.literal(0),
    z.array(stageRowSchema),
    predictionRowSchema,
    z.number().nullable(),
    z.string().nullable(),
    summaryRowsSchema,
  ]),
  z.tuple([
    z.literal(1),
    indexSchema(refusalReasons),
    z.number(),
    summaryRowsSchema,
  ]),
]);

/** A request for summaries; those of `model` come first in the response. */
export const summariesCallSchema = z.object({model: z.string().optional()});
