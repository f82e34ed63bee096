import * as zod from 'zod';

/** Schemas of the administration API responses that the command line reads; unknown fields are ignored. */

const findingSchema = zod.object({
  source: zod.string(),
  path: zod.string(),
  expected: zod.string(),
});

const namedEntrySchema = zod.looseObject({name: zod.string()});

/** The active configuration; the fields of its entries are passed through unchecked. */
export const configurationResponseSchema = zod.object({
  revision: zod.number(),
  classes: zod.record(zod.string(), namedEntrySchema),
  clientAccounts: zod.record(zod.string(), namedEntrySchema),
  models: zod.record(zod.string(), namedEntrySchema),
  services: zod.record(zod.string(), namedEntrySchema),
});

export type ConfigurationResponse = zod.infer<
  typeof configurationResponseSchema
>;

/** The history of revisions. */
export const revisionsResponseSchema = zod.object({
  revisions: zod.array(
    zod.object({
      revision: zod.number(),
      operations: zod.array(zod.looseObject({kind: zod.string()})),
      operator: zod.string(),
      nonce: zod.string(),
      committedAtWallMilliseconds: zod.number(),
    }),
  ),
});

export type StoredRevision = zod.infer<
  typeof revisionsResponseSchema
>['revisions'][number];

/** Response of a control program to a submitted change. */
export const changeResponseSchema = zod.union([
  zod.object({
    accepted: zod.literal('yes'),
    revision: zod.number(),
    instancesInformed: zod.number(),
    instancesListed: zod.number(),
  }),
  zod.object({accepted: zod.literal('unknown'), nonce: zod.string()}),
  zod.object({
    accepted: zod.literal('no'),
    kind: zod.literal('invalid'),
    findings: zod.array(findingSchema),
  }),
  zod.object({
    accepted: zod.literal('no'),
    kind: zod.literal('conflict'),
    winningRevision: zod.number(),
    operator: zod.string(),
  }),
  zod.object({
    accepted: zod.literal('no'),
    kind: zod.literal('unavailable'),
    detail: zod.string(),
  }),
]);

export type ChangeResponse = zod.infer<typeof changeResponseSchema>;
