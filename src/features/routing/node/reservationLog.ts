import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {ReserveRequest} from '../common/cellMessages.js';
import {CellView, RoutingDecision} from '../common/routing.js';

/** Logs a decision of a cell's owner with the figures that it was made on. */
export function logReservation(
  logger: Logger,
  call: ReserveRequest,
  view: CellView,
  decision: RoutingDecision,
): void {
  const {work, excluded} = call;
  const ages = view.stages.map(stage => stage.reportAgeMilliseconds);
  logger.decision('reservation', {
    requestId: work.requestId,
    classOfWork: work.classOfWork,
    clientAccount: work.clientAccount,
    cell: view.cell,
    model: view.model,
    version: view.version,
    stagesConsidered: view.stages.length,
    candidates: decision.candidates,
    excluded,
    outcome: decision.kind,
    why: decision.reason,
    ...outcomeFields(decision),
    firstTokenWithinMilliseconds: work.firstTokenWithinMilliseconds,
    oldestFigureMilliseconds: ages.length > 0 ? Math.max(...ages) : undefined,
  });
}

function outcomeFields(
  decision: RoutingDecision,
): Readonly<Record<string, unknown>> {
  if (decision.kind === 'admit') {
    const {stages, prediction} = decision;
    return {chosen: stages.map(({upstream}) => upstream), prediction};
  }
  const {nearest, retryAfterMilliseconds} = decision;
  return {chosen: [], nearest, retryAfterMilliseconds};
}
