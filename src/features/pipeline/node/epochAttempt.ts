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

/** What a step came to. */
export type StepResult = Result<StepReceipt, StepError>;

/** Told of an answer that came after its step was given up. */
export type LateAnswerListener = (
  step: StepRequest,
  result: Result<StepReceipt, EngineError>,
) => void;

/** All calls of one epoch of a request; at most one is in flight. Closing it gives up the call in flight. */
export class EpochAttempt implements Disposable {
  private readonly source: CancellationSource;
  private settle: ((result: StepResult) => void) | undefined;
  private timer: Disposable | undefined;
  private closed = false;

  constructor(
    private readonly clock: Clock,
    parent: CancellationToken,
    private readonly onLateAnswer: LateAnswerListener,
  ) {
    this.source = new CancellationSource(parent);
    this.source.token.onDidCancel(() => this.close({kind: 'ended'}));
  }

  /** Sends a step; resolves with its answer, or when it is silent for too long, or when the run ends. */
  call(
    connection: EngineConnection,
    step: StepRequest,
    limitMilliseconds: number,
  ): Promise<StepResult> {
    if (this.closed) {
      return Promise.resolve(failure<StepError>({kind: 'ended'}));
    }
    return new Promise(resolve => {
      this.settle = resolve;
      this.timer = this.clock.setTimer(limitMilliseconds, () =>
        this.close({kind: 'silent', afterMilliseconds: limitMilliseconds}),
      );
      this.send(connection, step);
    });
  }

  /** Gives up the call in flight; later answers are dropped. */
  dispose(): void {
    this.close({kind: 'ended'});
  }

  private send(connection: EngineConnection, step: StepRequest): void {
    connection.step(step, this.source.token).then(
      result => this.answered(step, result),
      (error: unknown) =>
        this.answered(step, failure({kind: 'lost', detail: String(error)})),
    );
  }

  private answered(
    step: StepRequest,
    result: Result<StepReceipt, EngineError>,
  ): void {
    if (this.closed) {
      this.onLateAnswer(step, result);
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
    const settle = this.settle;
    this.settle = undefined;
    this.timer?.dispose();
    this.timer = undefined;
    settle?.(result);
  }
}
