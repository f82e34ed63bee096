import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {
  decodeFailure,
  decodeReleases,
  decodeReplan,
  decodeReserve,
  encodeResponse,
  encodeSummaries,
} from '../common/cellCodec.js';
import {CellAuthority} from '../common/cellMessages.js';
import {
  failureRowSchema,
  releaseRowsSchema,
  replanRowSchema,
  reserveRowSchema,
  summariesCallSchema,
} from '../common/cellSchemas.js';

const neverAborted = new AbortController().signal;

/** Creates the RPC procedures by which peers call a process's cells, under the name `cells`. */
export function createCellRouter(authority: CellAuthority) {
  const cells = createRpcRouter({
    reserve: peerProcedure.input(reserveRowSchema).mutation(async request => {
      const signal = request.signal ?? neverAborted;
      const call = decodeReserve(request.input);
      return encodeResponse(call, await authority.reserve(call, signal));
    }),
    replan: peerProcedure.input(replanRowSchema).mutation(async request => {
      const signal = request.signal ?? neverAborted;
      const call = decodeReplan(request.input);
      return encodeResponse(call, await authority.replan(call, signal));
    }),
    release: peerProcedure
      .input(releaseRowsSchema)
      .mutation(({input}) => authority.release(decodeReleases(input))),
    reportFailure: peerProcedure
      .input(failureRowSchema)
      .mutation(({input}) => authority.reportFailure(decodeFailure(input))),
    summaries: peerProcedure
      .input(summariesCallSchema)
      .mutation(async request => {
        const signal = request.signal ?? neverAborted;
        const summaries = await authority.summaries(
          request.input.model,
          signal,
        );
        return encodeSummaries(summaries);
      }),
  });
  return createRpcRouter({cells});
}

/** Type parameter for clients of the router. */
export type CellRouter = ReturnType<typeof createCellRouter>;
