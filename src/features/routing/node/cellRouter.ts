import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {
  decodeFailure,
  decodeReleases,
  decodeReplan,
  decodeReserve,
  encodeAnswer,
  encodeSummaries,
} from '../common/cellCodec.js';
import {CellAuthority} from '../common/cellMessages.js';
import {
  failureRow,
  releaseRows,
  replanRow,
  reserveRow,
  summariesCallSchema,
} from '../common/cellSchemas.js';

const neverAborted = new AbortController().signal;

/** The calls that a process answers for its cells, under the name `cells`. */
export function createCellRouter(authority: CellAuthority) {
  const cells = createRpcRouter({
    reserve: peerProcedure.input(reserveRow).mutation(async call => {
      const signal = call.signal ?? neverAborted;
      const asked = decodeReserve(call.input);
      return encodeAnswer(asked, await authority.reserve(asked, signal));
    }),
    replan: peerProcedure.input(replanRow).mutation(async call => {
      const signal = call.signal ?? neverAborted;
      const asked = decodeReplan(call.input);
      return encodeAnswer(asked, await authority.replan(asked, signal));
    }),
    release: peerProcedure
      .input(releaseRows)
      .mutation(({input}) => authority.release(decodeReleases(input))),
    reportFailure: peerProcedure
      .input(failureRow)
      .mutation(({input}) => authority.reportFailure(decodeFailure(input))),
    summaries: peerProcedure.input(summariesCallSchema).mutation(async call => {
      const signal = call.signal ?? neverAborted;
      const notes = await authority.summaries(call.input.model, signal);
      return encodeSummaries(notes);
    }),
  });
  return createRpcRouter({cells});
}

/** The type that clients are made with. */
export type CellRouter = ReturnType<typeof createCellRouter>;
