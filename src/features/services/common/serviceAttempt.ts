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

/** Services and per-service state that an attempt uses. */
export interface ServiceAttemptParts {
  readonly broker: CapacityBroker;
  readonly connector: ServiceConnector;
  readonly clock: Clock;
  readonly budget: RetryBudget;
  readonly latency: LatencyWindow;
}

/** Why an attempt is made; a hedge runs in parallel with a slow attempt. */
export type AttemptReason = 'first' | 'retry' | 'hedge';

/** One attempt as written to the log. */
export interface AttemptLogEntry {
  readonly upstream: string;
  readonly address: string;
  readonly candidates: number;
  readonly reason: AttemptReason;
  outcome: 'sent' | 'completed' | ServiceError['kind'];
  milliseconds: number;
}

/** A chosen replica, of which a slot is held. */
export type ChosenReplica = Extract<ServiceChoice, {readonly kind: 'chosen'}>;

/** The response of a replica, or why there is none. */
export type AttemptResult = Result<ServiceResponse, ServiceError>;

/** Cancellation reason that does not count as a failure of the replica. */
export const OTHER_ATTEMPT_SUCCEEDED = 'another attempt succeeded';

/** One attempt of a call on one replica. */
export class ServiceAttempt {
  readonly logEntry: AttemptLogEntry;

  constructor(
    private readonly parts: ServiceAttemptParts,
    private readonly request: ServiceCallRequest,
    private readonly replica: ChosenReplica,
    reason: AttemptReason,
  ) {
    const {upstream, address, candidates} = replica;
    this.logEntry = {
      upstream,
      address,
      candidates,
      reason,
      outcome: 'sent',
      milliseconds: 0,
    };
  }

  /**
   * Sends the call and releases the replica's slot; never rejects. `onFailed` is called synchronously with the update
   * of the log entry, so that a reader of the entry never sees a failed attempt whose error is not yet recorded.
   */
  async run(
    token: CancellationToken,
    onFailed: (error: ServiceError) => void,
  ): Promise<AttemptResult> {
    const {logEntry} = this;
    const {broker, clock, latency, budget} = this.parts;
    const startedAt = clock.monotonicMilliseconds();
    const result = await this.send(token);
    logEntry.milliseconds = clock.monotonicMilliseconds() - startedAt;
    logEntry.outcome = result.ok ? 'completed' : result.error.kind;
    if (result.ok) {
      latency.add(logEntry.milliseconds);
      budget.recordSuccess();
    } else {
      onFailed(result.error);
    }
    const outcome = replicaOutcome(result, token);
    broker.releaseService(logEntry.upstream, outcome, logEntry.milliseconds);
    return result;
  }

  private async send(token: CancellationToken): Promise<AttemptResult> {
    const {requestId, method, path, contentType, body} = this.request;
    const {upstream, address} = this.replica;
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

/** An attempt that was cancelled because another one succeeded does not count against its replica. */
function replicaOutcome(
  result: AttemptResult,
  token: CancellationToken,
): 'completed' | 'failed' | 'refused' {
  if (result.ok || token.reason === OTHER_ATTEMPT_SUCCEEDED) {
    return 'completed';
  }
  return result.error.kind === 'refused' ? 'refused' : 'failed';
}
