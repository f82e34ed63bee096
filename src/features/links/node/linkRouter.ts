import * as zod from 'zod';

import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {Reachability} from '../common/reachability.js';

const ADDRESS_PATTERN = /^[^\s:]+:\d{1,5}$/;

/** Schema of a question for a test of the link to an address `IP:port`. */
const questionSchema = zod.object({
  address: zod.string().max(64).regex(ADDRESS_PATTERN),
});

/** Schema of what a peer found. */
export const reachabilitySchema = zod.enum(['reached', 'refused', 'unknown']);

/** Creates the tRPC router through which peers ask this instance to test its links. */
export function createLinkRouter(
  test: (address: string) => Promise<Reachability>,
) {
  return createRpcRouter({
    links: createRpcRouter({
      test: peerProcedure
        .input(questionSchema)
        .mutation(({input}) => test(input.address)),
    }),
  });
}

/** Type of the tRPC router, for clients. */
export type LinkRouter = ReturnType<typeof createLinkRouter>;
