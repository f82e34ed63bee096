import {z} from 'zod';

import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {RowWrite} from '../../../infrastructure/table/common/tableService.js';
import {AskResponse} from '../common/claimPeers.js';
import {CLAIM_ROW_PREFIX} from '../common/claimRecord.js';
import {RowResult} from '../common/rowWriter.js';
import {DefaultClaimService} from './defaultClaimService.js';

/** RPC router for requests between claim services. */

const MAX_ROWS_PER_CALL = 100;

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
        key: z.string().startsWith(CLAIM_ROW_PREFIX),
        value: z.string(),
        condition: conditionSchema,
      }),
    )
    .max(MAX_ROWS_PER_CALL),
});

/** Serves `claims.ask` and `claims.gather`; to be merged into the root router of the entry program. */
export function createClaimRouter(service: DefaultClaimService) {
  return createRpcRouter({
    claims: createRpcRouter({
      ask: peerProcedure.input(askSchema).query(({input}): AskResponse =>
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

/** Router type for RPC clients. */
export type ClaimRouter = ReturnType<typeof createClaimRouter>;
