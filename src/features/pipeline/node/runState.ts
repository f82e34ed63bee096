import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {ModelRequest} from '../../requests/common/request.js';
import {Reservation} from '../../routing/common/routing.js';
import {EpochAttempt, LateAnswerListener} from './epochAttempt.js';

/** What changes while one request runs. */
export class RunState {
  /** The prompt and the released tokens. */
  readonly tokens: string[];
  readonly promptLength: number;
  /** The capacity held; undefined before it is reserved. */
  reservation: Reservation | undefined;
  /** Positions that some stage has run. */
  steppedTo = 0;
  /** Recoveries tried. */
  recoveries = 0;
  private currentEpoch = 1;
  private currentAttempt: EpochAttempt;

  constructor(
    request: ModelRequest,
    private readonly clock: Clock,
    readonly token: CancellationToken,
    private readonly onLateAnswer: LateAnswerListener,
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

  /** How many tokens were handed to the sink. */
  get released(): number {
    return this.tokens.length - this.promptLength;
  }

  /** Ends the attempt of the present epoch and starts another. */
  enterEpoch(epoch: number): void {
    this.currentAttempt.dispose();
    this.currentEpoch = epoch;
    this.currentAttempt = this.openAttempt();
  }

  private openAttempt(): EpochAttempt {
    return new EpochAttempt(this.clock, this.token, this.onLateAnswer);
  }
}
