import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {GossipMessage, gossipMessageSchema} from '../common/gossipMessage.js';

/** Processes a peer's message and returns the response. */
export type GossipHandler = (message: GossipMessage) => GossipMessage;

/** Creates the tRPC router for calls between instances. */
export function createGossipRouter(handleMessage: GossipHandler) {
  return createRpcRouter({
    news: createRpcRouter({
      exchange: peerProcedure
        .input(gossipMessageSchema)
        .mutation(({input}) => handleMessage(input)),
    }),
  });
}

/** Type of the tRPC router, for clients. */
export type GossipRouter = ReturnType<typeof createGossipRouter>;
