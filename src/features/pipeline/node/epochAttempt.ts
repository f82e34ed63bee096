import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {failure, Result} from '../../../base/common/result.js';
import {
  EngineConnection,
  EngineError,
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {StepError} from '../common/stageFailure.js';

/** The receipt of a step, or why there is none. */
export type StepResult = Result<StepReceipt, StepError>;

/** Called with a response that arrived after its step was abandoned. */
export type LateResponseListener = (
  step: StepRequest,
  result: Result<StepReceipt, EngineError>,
) => void;

/** All calls of one epoch of a request; at most one is in flight. Disposing the attempt abandons that call. */
export class EpochAttempt implements Disposable {
  private readonly source: CancellationSource;
  private settleCall: ((result: StepResult) => void) | undefined;
  private timer: Disposable | undefined;
  private closed = false;

  constructor(
    private readonly clock: Clock,
    parent: CancellationToken,
    private readonly onLateResponse: LateResponseListener,
  ) {
    this.source = new CancellationSource(parent);
    this.source.token.onDidCancel(() => this.close({kind: 'ended'}));
  }

  /** Sends a step; resolves with its response, or with an error on a time-out or when the run ends. */
  call(
    connection: EngineConnection,
    step: StepRequest,
    timeoutMilliseconds: number,
  ): Promise<StepResult> {
    if (this.closed) {
      return Promise.resolve(failure<StepError>({kind: 'ended'}));
    }
    return new Promise(resolve => {
      this.settleCall = resolve;
      this.timer = this.clock.setTimer(timeoutMilliseconds, () =>
        this.close({kind: 'silent', afterMilliseconds: timeoutMilliseconds}),
      );
      this.send(connection, step);
    });
  }

  /** Abandons the call in flight; a later response to it is dropped. */
  dispose(): void {
    this.close({kind: 'ended'});
  }

  private send(connection: EngineConnection, step: StepRequest): void {
    connection.step(step, this.source.token).then(
      result => this.handleResult(step, result),
      (error: unknown) =>
        this.handleResult(step, failure({kind: 'lost', detail: String(error)})),
    );
  }

  private handleResult(
    step: StepRequest,
    result: Result<StepReceipt, EngineError>,
  ): void {
    if (this.closed) {
      this.onLateResponse(step, result);
      return;
    }
    this.resolveCall(result);
  }

  private close(error: StepError): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.resolveCall(failure(error));
    this.source.cancel(error.kind);
    this.source.dispose();
  }

  private resolveCall(result: StepResult): void {
    const settleCall = this.settleCall;
    this.settleCall = undefined;
    this.timer?.dispose();
    this.timer = undefined;
    settleCall?.(result);
  }
}
