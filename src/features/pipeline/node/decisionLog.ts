import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {ModelRequest} from '../../requests/common/request.js';
import {ReservationReply} from '../../routing/common/routing.js';

/** Writes one log line per decision about where a request runs. */
export class DecisionLog {
  constructor(
    private readonly logger: Logger,
    private readonly request: ModelRequest,
  ) {}

  /** `cause` is `admission`, or the failure that required a new plan. */
  write(
    cause: string,
    epoch: number,
    excluded: readonly string[],
    reply: ReservationReply,
  ): void {
    this.writeLine({cause, epoch, excluded, ...outcomeFields(reply)});
  }

  /** Logs that the request keeps its stages under a new epoch. */
  writeStagesKept(
    cause: string,
    epoch: number,
    upstreams: readonly string[],
  ): void {
    this.writeLine({cause, epoch, outcome: 'kept', upstreams});
  }

  private writeLine(fields: Readonly<Record<string, unknown>>): void {
    const {requestId, classOfWork, clientAccount} = this.request;
    this.logger.decision('pipeline', {
      requestId,
      classOfWork: classOfWork.name,
      clientAccount,
      ...fields,
    });
  }
}

function outcomeFields(reply: ReservationReply): Record<string, unknown> {
  if (reply.kind === 'refused') {
    return {
      outcome: 'refused',
      reason: reply.reason,
      retryAfterMilliseconds: reply.retryAfterMilliseconds,
    };
  }
  const {reservation} = reply;
  return {
    outcome: 'reserved',
    cell: reservation.cell,
    upstreams: reservation.stages.map(stage => stage.upstream),
    candidates: reservation.candidates,
    reason: reservation.reason,
    figuresAgeMilliseconds: reservation.prediction.figuresAgeMilliseconds,
    startsInMilliseconds: reservation.prediction.startsInMilliseconds,
  };
}
