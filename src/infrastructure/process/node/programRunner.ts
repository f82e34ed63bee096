import {nextPoll} from '../../../base/node/nextPoll.js';
import {Logger} from '../../logging/common/logger.js';
import {ProcessSignals, ReceivedSignal} from './processSignals.js';

/** Runs a program from its start to its stop and decides what each signal does at each stage. */

const EXIT_SUCCESS = 0;
const EXIT_FAILURE = 1;

/** Time after the limit of a stop in which one that was held over its end takes its last steps. */
const LAST_STEPS_MILLISECONDS = 50;

/** A program that serves between its start and its stop. */
export interface RunnableProgram {
  /** Resolves once the program serves. */
  start(): Promise<void>;
  /** Finishes the work in progress; resolves once the process may exit. */
  stop(): Promise<void>;
}

/** What SIGHUP does in a program. */
export interface HangUpAction {
  /** Description for the log. */
  readonly name: string;
  run(): void;
}

/** How a program is run. */
export interface RunOptions {
  /** Time from the first stop signal after which the process exits, whatever the stop still waits for. */
  readonly stopLimitMilliseconds: number;
  readonly hangUpAction: HangUpAction;
}

/** For programs that read their settings only at their start. */
export const restartNeeded: HangUpAction = {
  name: 'nothing; restart to apply changed settings',
  run: () => undefined,
};

type Stage = 'loading' | 'starting' | 'serving' | 'stopping';
type StartOutcome = 'serving' | 'failed' | 'interrupted';

/** Runs one program of the process. Later stop signals change nothing. */
export class ProgramRunner {
  private stage: Stage = 'loading';
  private stopRequestedAt: number | undefined;
  private requestStop: () => void = () => undefined;
  private readonly stopRequested = new Promise<void>(resolve => {
    this.requestStop = resolve;
  });

  constructor(
    private readonly program: RunnableProgram,
    private readonly signals: ProcessSignals,
    private readonly logger: Logger,
    private readonly options: RunOptions,
  ) {}

  /** Resolves with the exit code; the caller then exits, since a start that was interrupted goes on. */
  async run(): Promise<number> {
    this.signals.setListener(received => this.handle(received));
    await nextPoll();
    const exitCode = await this.startAndStop();
    // Signals that came together are all logged.
    await nextPoll();
    return exitCode;
  }

  private async startAndStop(): Promise<number> {
    switch (await this.start()) {
      case 'failed':
        return EXIT_FAILURE;
      case 'interrupted':
        return EXIT_SUCCESS;
      case 'serving':
        await this.stopRequested;
        return this.stop();
    }
  }

  private handle({signal, receivedAt}: ReceivedSignal): void {
    const {hangUpAction} = this.options;
    const {stage, stopRequestedAt} = this;
    const isHangUp = signal === 'SIGHUP';
    this.logger.info('signal received', {
      signal,
      stage,
      action: isHangUp ? hangUpAction.name : stopActions[stage],
      millisecondsSinceStart: Math.round(receivedAt),
      millisecondsSinceStopSignal:
        stopRequestedAt === undefined
          ? undefined
          : Math.round(receivedAt - stopRequestedAt),
    });
    if (isHangUp) {
      hangUpAction.run();
    } else if (stopRequestedAt === undefined) {
      this.stage = 'stopping';
      this.stopRequestedAt = receivedAt;
      this.requestStop();
    }
  }

  private async start(): Promise<StartOutcome> {
    if (this.stopRequestedAt !== undefined) {
      return 'interrupted';
    }
    this.stage = 'starting';
    return Promise.race([
      this.startProgram(),
      this.stopRequested.then(() => 'interrupted' as const),
    ]);
  }

  private async startProgram(): Promise<StartOutcome> {
    try {
      await this.program.start();
    } catch (error) {
      this.logger.error('could not start', {detail: String(error)});
      return 'failed';
    }
    if (this.stopRequestedAt !== undefined) {
      return 'interrupted';
    }
    this.stage = 'serving';
    return 'serving';
  }

  private stop(): Promise<number> {
    const {stopLimitMilliseconds} = this.options;
    const stopRequestedAt = this.stopRequestedAt ?? performance.now();
    return new Promise(resolve => {
      const exit = (): void => {
        this.logger.error('stop has not ended in time; exiting', {
          stopLimitMilliseconds,
        });
        resolve(EXIT_FAILURE);
      };
      const remaining =
        stopRequestedAt + stopLimitMilliseconds - performance.now();
      setTimeout(
        () => setTimeout(exit, LAST_STEPS_MILLISECONDS),
        Math.max(0, remaining),
      );
      // After a failure, work in progress may still finish until the limit.
      this.program.stop().then(
        () => resolve(EXIT_SUCCESS),
        error =>
          this.logger.error('stop failed; exiting at its time limit', {
            detail: String(error),
          }),
      );
    });
  }
}

/** What a stop signal does at each stage. */
const stopActions: Readonly<Record<Stage, string>> = {
  loading: 'exits without serving',
  starting: 'exits without serving',
  serving: 'stops',
  stopping: 'nothing; already stopping',
};
