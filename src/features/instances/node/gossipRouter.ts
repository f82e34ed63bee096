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

/** Processes the losses that a peer reports to this instance as their collector, and returns what it knows. */
export type LossReportHandler = (
  news: RequestLossNews,
) => RequestLossNews | undefined;

/** Creates the tRPC router for calls between instances. */
export function createGossipRouter(
  handleMessage: GossipHandler,
  handleRequestLosses: RequestLossHandler,
  handleLossReport: LossReportHandler,
) {
  return createRpcRouter({
    news: createRpcRouter({
      exchange: peerProcedure
        .input(gossipMessageSchema)
        .mutation(({input}) => handleMessage(input)),
      requestLosses: peerProcedure
        .input(requestLossNewsSchema)
        .mutation(({input}) => handleRequestLosses(input)),
      lossReport: peerProcedure
        .input(requestLossNewsSchema)
        .mutation(({input}) => handleLossReport(input)),
    }),
  });
}

/** Type of the tRPC router, for clients. */
export type GossipRouter = ReturnType<typeof createGossipRouter>;
