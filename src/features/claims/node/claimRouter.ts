import {z} from 'zod';

import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {RowWrite} from '../../../infrastructure/table/common/tableService.js';
import {AskAnswer} from '../common/claimPeers.js';
import {CLAIM_PREFIX} from '../common/claimRecord.js';
import {RowResult} from '../common/rowWriter.js';
import {DefaultClaimService} from './defaultClaimService.js';

/** Calls between claim services. */

const MAXIMUM_ROWS = 100;

const askSchema = z.object({
  incarnation: z.string(),
  keyHash: z.string(),
  grantExpiresAt: z.number().optional(),
});

const conditionSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('any')}),
  z.object({kind: z.literal('absent')}),
  z.object({kind: z.literal('version'), version: z.number()}),
]);

const gatherSchema = z.object({
  writes: z
    .array(
      z.object({
        key: z.string().startsWith(CLAIM_PREFIX),
        value: z.string(),
        condition: conditionSchema,
      }),
    )
    .max(MAXIMUM_ROWS),
});

/** The procedures `claims.ask` and `claims.gather`; merge it into the entry program's root router. */
export function createClaimRouter(service: DefaultClaimService) {
  return createRpcRouter({
    claims: createRpcRouter({
      ask: peerProcedure.input(askSchema).query(({input}): AskAnswer =>
        service.answer({
          incarnation: input.incarnation,
          keyHash: input.keyHash,
          grantExpiresAt: input.grantExpiresAt,
        }),
      ),
      gather: peerProcedure
        .input(gatherSchema)
        .mutation(({input}): Promise<readonly RowResult[]> =>
          service.gather(input.writes as readonly RowWrite[]),
        ),
    }),
  });
}

/** The router's type, for clients. */
export type ClaimRouter = ReturnType<typeof createClaimRouter>;
