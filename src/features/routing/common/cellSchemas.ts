import {z} from 'zod';

/** Checks of the rows in which peers send messages about cells. */

/** Outcomes of a stage, by their number on the wire. */
export const outcomes = [
  'completed',
  'failed',
  'refused',
  'silent',
  'cancelled',
] as const;

/** Reasons of a refusal, by their number on the wire. */
export const refusalReasons = [
  'cannotMeetTarget',
  'overShare',
  'noUpstream',
] as const;

const RELEASES_LIMIT = 1024;

function indexOf(values: readonly string[]) {
  return z
    .number()
    .int()
    .min(0)
    .max(values.length - 1);
}

/** The work: what is always there, then what is seldom there. */
export const workRow = z.tuple([
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

/** Upstream, outcome, steps, milliseconds of a decode step and of a hop. */
const observationRow = z.tuple([
  z.string(),
  indexOf(outcomes),
  z.number(),
  z.number().nullable(),
  z.number().nullable(),
]);

/** Cell, reservation and what was seen. */
export const releaseRow = z.tuple([
  z.string(),
  z.string(),
  z.array(observationRow),
]);

/** A list of releases. */
export const releaseRows = z.array(releaseRow).max(RELEASES_LIMIT);

/** Cell, model, reservation, work, excluded upstreams and releases. */
export const reserveRow = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  workRow,
  z.array(z.string()),
  releaseRows,
]);

/** The reservation that is replaced and the call in its place. */
export const replanRow = z.tuple([z.string(), reserveRow]);

/** Cell, reservation and the failed stage. */
export const failureRow = z.tuple([z.string(), z.string(), observationRow]);

/** Cell, model, free slots, earliest start and age. */
export const summaryRow = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
]);

/** A list of summaries. */
export const summaryRows = z.array(summaryRow);

/** Upstream, address, layers, traits (see `StageTrait` of the codec), and the version. */
const stageRow = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.string().nullable(),
]);

/** Start, first token, between tokens, whole, and age of the figures. */
const predictionRow = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number().nullable(),
]);

/** Stages, prediction, candidates, reason and summaries; or reason, retry and summaries. */
export const answerRow = z.union([
  z.tuple([
    z.literal(0),
    z.array(stageRow),
    predictionRow,
    z.number().nullable(),
    z.string().nullable(),
    summaryRows,
  ]),
  z.tuple([z.literal(1), indexOf(refusalReasons), z.number(), summaryRows]),
]);

/** A call for summaries. */
export const summariesCallSchema = z.object({model: z.string().optional()});
