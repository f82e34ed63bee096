import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {PeerNews, peerNewsSchema} from '../common/peerNews.js';

/** The calls that instances answer each other. */

/** Takes a peer's news and answers with its own. */
export type NewsExchange = (news: PeerNews) => PeerNews;

/** Makes the router of an instance. */
export function createNewsRouter(exchange: NewsExchange) {
  return createRpcRouter({
    news: createRpcRouter({
      exchange: peerProcedure
        .input(peerNewsSchema)
        .mutation(({input}) => exchange(input)),
    }),
  });
}

/** The type that clients call through. */
export type NewsRouter = ReturnType<typeof createNewsRouter>;
