import {
  createRpcRouter,
  peerProcedure,
} from '../../../platform/rpc/node/rpc.js';
import {
  decodeFailure,
  decodeRelease,
  decodeReplan,
  decodeReserve,
  encodeAnswer,
  encodeSummary,
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
      const answer = await authority.reserve(decodeReserve(call.input), signal);
      return encodeAnswer(answer);
    }),
    replan: peerProcedure.input(replanRow).mutation(async call => {
      const signal = call.signal ?? neverAborted;
      const answer = await authority.replan(decodeReplan(call.input), signal);
      return encodeAnswer(answer);
    }),
    release: peerProcedure
      .input(releaseRows)
      .mutation(({input}) => authority.release(input.map(decodeRelease))),
    reportFailure: peerProcedure
      .input(failureRow)
      .mutation(({input}) => authority.reportFailure(decodeFailure(input))),
    summaries: peerProcedure.input(summariesCallSchema).mutation(async call => {
      const signal = call.signal ?? neverAborted;
      const notes = await authority.summaries(call.input.model, signal);
      return notes.map(encodeSummary);
    }),
  });
  return createRpcRouter({cells});
}

/** The type that clients are made with. */
export type CellRouter = ReturnType<typeof createCellRouter>;
