import {
  createRpcRouter,
  peerProcedure,
} from '../../../platform/rpc/node/rpc.js';
import {CellAuthority} from '../common/cellMessages.js';
import {
  failureNoteSchema,
  releaseNotesSchema,
  replanCallSchema,
  reserveCallSchema,
  summariesCallSchema,
} from '../common/cellSchemas.js';

const neverAborted = new AbortController().signal;

/** The calls that a process answers for its cells, under the name `cells`. */
export function createCellRouter(authority: CellAuthority) {
  const cells = createRpcRouter({
    reserve: peerProcedure
      .input(reserveCallSchema)
      .mutation(({input, signal}) =>
        authority.reserve(input, signal ?? neverAborted),
      ),
    replan: peerProcedure
      .input(replanCallSchema)
      .mutation(({input, signal}) =>
        authority.replan(input, signal ?? neverAborted),
      ),
    release: peerProcedure
      .input(releaseNotesSchema)
      .mutation(({input}) => authority.release(input)),
    reportFailure: peerProcedure
      .input(failureNoteSchema)
      .mutation(({input}) => authority.reportFailure(input)),
    summaries: peerProcedure
      .input(summariesCallSchema)
      .mutation(({input, signal}) =>
        authority.summaries(input.model, signal ?? neverAborted),
      ),
  });
  return createRpcRouter({cells});
}

/** The type that clients are made with. */
export type CellRouter = ReturnType<typeof createCellRouter>;
