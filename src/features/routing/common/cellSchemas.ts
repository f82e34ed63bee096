import {z} from 'zod';

/** Checks of the messages that peers send about cells. */

const observation = z
  .object({
    upstream: z.string(),
    outcome: z.enum(['completed', 'failed', 'refused', 'silent', 'cancelled']),
    decodeMilliseconds: z.number().optional(),
    linkMilliseconds: z.number().optional(),
    steps: z.number(),
  })
  .transform(({decodeMilliseconds, linkMilliseconds, ...rest}) => ({
    ...rest,
    decodeMilliseconds,
    linkMilliseconds,
  }));

const releaseNote = z.object({
  cell: z.string(),
  reservationId: z.string(),
  observations: z.array(observation),
});

const work = z
  .object({
    requestId: z.string(),
    classOfWork: z.string(),
    clientAccount: z.string(),
    adapter: z.string().optional(),
    promptTokens: z.number(),
    outputTokens: z.number(),
    prefixKey: z.string().optional(),
    prefixTokens: z.number().optional(),
    version: z.string().optional(),
    firstTokenWithin: z.number(),
    betweenTokensTarget: z.number(),
    deadlineWithin: z.number(),
    priority: z.number(),
    inProgress: z.boolean().optional(),
  })
  .transform(({adapter, prefixKey, ...rest}) => ({
    ...rest,
    adapter,
    prefixKey,
  }));

const RELEASES_LIMIT = 1024;

/** A list of releases. */
export const releaseNotesSchema = z.array(releaseNote).max(RELEASES_LIMIT);

/** A call for capacity. */
export const reserveCallSchema = z.object({
  cell: z.string(),
  model: z.string(),
  reservationId: z.string(),
  work,
  excluded: z.array(z.string()),
  releases: releaseNotesSchema,
});

/** A call for other stages. */
export const replanCallSchema = reserveCallSchema.extend({
  replaces: z.string(),
});

/** A failed stage. */
export const failureNoteSchema = z.object({
  cell: z.string(),
  reservationId: z.string(),
  observation,
});

/** A call for summaries. */
export const summariesCallSchema = z.object({model: z.string().optional()});
