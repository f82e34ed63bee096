import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {RequestLossNews} from '../../crashes/common/requestLosses.js';
import {
  GossipMessage,
  gossipMessageSchema,
  requestLossNewsSchema,
} from '../common/gossipMessage.js';

/** Processes a peer's message and returns the response. */
export type GossipHandler = (message: GossipMessage) => GossipMessage;

/** Processes what a peer tells of requests that have lost upstreams. */
export type RequestLossHandler = (news: RequestLossNews) => void;

/** Creates the tRPC router for calls between instances. */
export function createGossipRouter(
  handleMessage: GossipHandler,
  handleRequestLosses: RequestLossHandler,
) {
  return createRpcRouter({
    news: createRpcRouter({
      exchange: peerProcedure
        .input(gossipMessageSchema)
        .mutation(({input}) => handleMessage(input)),
      requestLosses: peerProcedure
        .input(requestLossNewsSchema)
        .mutation(({input}) => handleRequestLosses(input)),
    }),
  });
}

/** Type of the tRPC router, for clients. */
export type GossipRouter = ReturnType<typeof createGossipRouter>;
