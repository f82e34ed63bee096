import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {ModelRequest} from '../../requests/common/request.js';
import {Reservation} from '../../routing/common/routing.js';
import {EpochAttempt, LateResponseListener} from './epochAttempt.js';

/** Mutable state of one run. */
export class RunState {
  /** Tokens of the prompt, followed by the released tokens. */
  readonly tokens: string[];
  readonly promptLength: number;
  /** The reservation held; undefined before the first one and after its release. */
  reservation: Reservation | undefined;
  /** End of the positions that the first stage has computed in any pass. */
  computedTo = 0;
  /** Number of recoveries attempted. */
  recoveries = 0;
  private currentEpoch = 1;
  private currentAttempt: EpochAttempt;

  constructor(
    request: ModelRequest,
    private readonly clock: Clock,
    readonly token: CancellationToken,
    private readonly onLateAnswer: LateResponseListener,
  ) {
    this.tokens = [...request.promptTokens];
    this.promptLength = request.promptTokens.length;
    this.currentAttempt = this.openAttempt();
  }

  get epoch(): number {
    return this.currentEpoch;
  }

  get attempt(): EpochAttempt {
    return this.currentAttempt;
  }

  /** Number of tokens delivered to the sink. */
  get released(): number {
    return this.tokens.length - this.promptLength;
  }

  /** Ends the attempt of the current epoch and starts one of the new epoch. */
  enterEpoch(epoch: number): void {
    this.currentAttempt.dispose();
    this.currentEpoch = epoch;
    this.currentAttempt = this.openAttempt();
  }

  private openAttempt(): EpochAttempt {
    return new EpochAttempt(this.clock, this.token, this.onLateAnswer);
  }
}
