import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {failure, Result} from '../../../base/common/result.js';
import {
  ServiceConnector,
  ServiceError,
  ServiceResponse,
} from '../../../infrastructure/service/common/serviceConnection.js';
import {ServiceCallRequest} from '../../callers/common/serviceDispatcher.js';
import {CapacityBroker, ServiceChoice} from '../../routing/common/routing.js';
import {LatencyWindow} from './latencyWindow.js';
import {RetryBudget} from './retryBudget.js';

/** What an attempt works with. */
export interface ServiceAttemptParts {
  readonly broker: CapacityBroker;
  readonly connector: ServiceConnector;
  readonly clock: Clock;
  readonly budget: RetryBudget;
  readonly latency: LatencyWindow;
}

/** Why an attempt is made. */
export type AttemptReason = 'first' | 'retry' | 'hedge';

/** One attempt, for the log line. */
export interface AttemptNote {
  readonly upstream: string;
  readonly address: string;
  readonly candidates: number;
  readonly reason: AttemptReason;
  outcome: 'sent' | 'completed' | ServiceError['kind'];
  milliseconds: number;
}

/** A replica whose slot is held. */
export type ChosenReplica = Extract<ServiceChoice, {readonly kind: 'chosen'}>;

/** A replica's answer, or why there is none. */
export type AttemptResult = Result<ServiceResponse, ServiceError>;

/** The reason of a cancellation that says nothing against the replica. */
export const ANOTHER_ANSWERED = 'another try answered';

/** One try of a call at one replica. */
export class ServiceAttempt {
  readonly note: AttemptNote;

  constructor(
    private readonly parts: ServiceAttemptParts,
    private readonly request: ServiceCallRequest,
    private readonly choice: ChosenReplica,
    reason: AttemptReason,
  ) {
    const {upstream, address, candidates} = choice;
    this.note = {
      upstream,
      address,
      candidates,
      reason,
      outcome: 'sent',
      milliseconds: 0,
    };
  }

  /**
   * Sends the call and returns the replica's slot; never rejects. `onFailed` is called in the same
   * step as the note is changed, so that nobody sees an end of the attempt without what follows
   * from it.
   */
  async run(
    token: CancellationToken,
    onFailed: (error: ServiceError) => void,
  ): Promise<AttemptResult> {
    const {note} = this;
    const {broker, clock, latency, budget} = this.parts;
    const startedAt = clock.monotonicMilliseconds();
    const result = await this.send(token);
    note.milliseconds = clock.monotonicMilliseconds() - startedAt;
    note.outcome = result.ok ? 'completed' : result.error.kind;
    if (result.ok) {
      latency.add(note.milliseconds);
      budget.earn();
    } else {
      onFailed(result.error);
    }
    const outcome = slotOutcome(result, token);
    broker.releaseService(note.upstream, outcome, note.milliseconds);
    return result;
  }

  private async send(token: CancellationToken): Promise<AttemptResult> {
    const {requestId, method, path, contentType, body} = this.request;
    const {upstream, address} = this.choice;
    try {
      const connection = this.parts.connector.connect(upstream, address);
      return await connection.call(
        {requestId, method, path, contentType, body},
        token,
      );
    } catch (error) {
      return failure({kind: 'lost', detail: String(error)});
    }
  }
}

/** A call that was cancelled because another try answered says nothing against its replica. */
function slotOutcome(
  result: AttemptResult,
  token: CancellationToken,
): 'completed' | 'failed' | 'refused' {
  if (result.ok || token.reason === ANOTHER_ANSWERED) {
    return 'completed';
  }
  return result.error.kind === 'refused' ? 'refused' : 'failed';
}
