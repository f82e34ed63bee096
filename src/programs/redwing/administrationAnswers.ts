import * as zod from 'zod';

/** The answers of the administration API that the command line reads; other fields are left alone. */

const finding = zod.object({
  source: zod.string(),
  path: zod.string(),
  expected: zod.string(),
});

const named = zod.looseObject({name: zod.string()});

/** The configuration in force; entries are passed through as they are. */
export const configurationAnswer = zod.object({
  revision: zod.number(),
  classes: zod.record(zod.string(), named),
  clientAccounts: zod.record(zod.string(), named),
  models: zod.record(zod.string(), named),
  services: zod.record(zod.string(), named),
});

/** The configuration as read. */
export type ConfigurationAnswer = zod.infer<typeof configurationAnswer>;

/** The log of revisions. */
export const revisionsAnswer = zod.object({
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

/** One revision as read. */
export type RevisionAnswer = zod.infer<
  typeof revisionsAnswer
>['revisions'][number];

/** What a control program said of a change. */
export const changeAnswer = zod.union([
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
    findings: zod.array(finding),
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

/** A change's answer as read. */
export type ChangeAnswer = zod.infer<typeof changeAnswer>;
