import {Configuration} from '../../configuration/common/configuration.js';
import {DecayedMean} from './decayedMean.js';
import {RoutingDecision, ShareView, WorkEstimate} from './routing.js';
import {ShareAccounting} from './shareAccounting.js';

const MEAN_WORK_DECAY_MILLISECONDS = 60000;

/** The work that a cell reserves: its class, its account and the slot time that it is expected to take. */
export interface ReservedWork {
  readonly classOfWork: string;
  readonly clientAccount: string;
  readonly expectedMilliseconds: number;
}

/** Tracks the slot time that the accounts of one cell want and use, and the mean work of each class. */
export class CellShares {
  private readonly accounts = new ShareAccounting();
  private readonly meanWorkByClass = new Map<string, DecayedMean>();

  /** The shares as routing policies see them. Forgets classes that are no longer configured. */
  view(configuration: Configuration, now: number): ShareView {
    const classes = Object.values(configuration.classes);
    const targets = new Map(
      classes.map(workClass => [workClass.name, workClass.requestsPerSecond]),
    );
    this.forgetClassesExcept(targets);
    const workByClass = new Map(
      [...this.meanWorkByClass].map(([name, mean]) => [
        name,
        mean.value(0, now),
      ]),
    );
    const timesByClass = new Map(
      classes.map(workClass => [
        workClass.name,
        {
          firstToken: workClass.firstTokenMilliseconds,
          betweenTokens: workClass.betweenTokensMilliseconds,
        },
      ]),
    );
    return {
      ...this.accounts.view(targets, now),
      workByClass,
      timesByClass,
    };
  }

  /** Records that work was wanted: its predicted slot time, or the mean of its class if it was refused. */
  recordDemand(
    work: WorkEstimate,
    decision: RoutingDecision,
    now: number,
  ): void {
    const {classOfWork, clientAccount, deadlineWithinMilliseconds} = work;
    const wanted =
      decision.kind === 'admit'
        ? decision.prediction.wholeMilliseconds
        : this.meanWorkOf(classOfWork).value(
            deadlineWithinMilliseconds / 2,
            now,
          );
    this.accounts.addDemand(classOfWork, clientAccount, wanted, now);
  }

  /** Records a reservation with its expected slot time. */
  recordReservation(work: ReservedWork, now: number): void {
    const {classOfWork, clientAccount, expectedMilliseconds} = work;
    this.accounts.addUsage(
      classOfWork,
      clientAccount,
      expectedMilliseconds,
      now,
    );
    this.meanWorkOf(classOfWork).add(expectedMilliseconds, 1, now);
  }

  /** Corrects demand and usage by the difference between the time that work held its slots and the expected one. */
  recordEnd(work: ReservedWork, heldMilliseconds: number, now: number): void {
    const {classOfWork, clientAccount, expectedMilliseconds} = work;
    const excess = heldMilliseconds - expectedMilliseconds;
    this.accounts.addUsage(classOfWork, clientAccount, excess, now);
    this.accounts.addDemand(classOfWork, clientAccount, excess, now, 0);
  }

  private meanWorkOf(classOfWork: string): DecayedMean {
    const known = this.meanWorkByClass.get(classOfWork);
    if (known !== undefined) {
      return known;
    }
    const created = new DecayedMean(MEAN_WORK_DECAY_MILLISECONDS);
    this.meanWorkByClass.set(classOfWork, created);
    return created;
  }

  private forgetClassesExcept(targets: ReadonlyMap<string, number>): void {
    for (const name of [...this.meanWorkByClass.keys()]) {
      if (!targets.has(name)) {
        this.meanWorkByClass.delete(name);
      }
    }
  }
}
