import {isDeepStrictEqual} from 'node:util';

import {Clock} from '../../base/common/clock.js';
import {Finding} from '../../base/common/finding.js';
import {
  ChangeAnswer,
  RevisionAnswer,
  changeAnswer,
  revisionsAnswer,
} from './administrationAnswers.js';
import {AdministrationClient, CallOutcome} from './administrationClient.js';

/** A change to the configuration, tied to the revision that it was made from. */
export interface Change {
  readonly operations: readonly unknown[];
  readonly expectedRevision: number;
}

/** What became of a change. */
export type ChangeOutcome =
  | {
      readonly kind: 'accepted';
      readonly revision: number;
      /** Instances that confirmed the revision; undefined when the answer was lost and read back. */
      readonly informed: number | undefined;
      readonly listed: number | undefined;
    }
  | {readonly kind: 'invalid'; readonly findings: readonly Finding[]}
  | {
      readonly kind: 'conflict';
      readonly winningRevision: number;
      readonly operator: string;
    }
  | {readonly kind: 'unavailable'; readonly detail: string}
  | {readonly kind: 'unauthenticated'}
  | {readonly kind: 'outcomeUnknown'; readonly detail: string};

const REVISIONS_PATH = '/v1/configuration/revisions';
const UNAUTHORIZED = 401;
const READ_BACK_ATTEMPTS = 5;
const READ_BACK_PAUSE_MILLISECONDS = 250;

/**
 * Submits changes. A change names the revision it was made from, so it can only ever become the
 * next one; when its answer is lost, that revision is read back and the change is never sent again.
 */
export class ChangeSubmitter {
  constructor(
    private readonly client: AdministrationClient,
    private readonly clock: Clock,
  ) {}

  async submit(change: Change): Promise<ChangeOutcome> {
    const outcome = await this.client.submit(REVISIONS_PATH, change);
    if (outcome.kind === 'neverSent') {
      return {kind: 'unavailable', detail: outcome.detail};
    }
    if (outcome.kind === 'lost') {
      return this.readBack(change, outcome.detail);
    }
    if (outcome.status === UNAUTHORIZED) {
      return {kind: 'unauthenticated'};
    }
    const answer = changeAnswer.safeParse(outcome.body);
    return answer.success
      ? this.judge(change, answer.data)
      : this.readBack(change, `an answer with status ${outcome.status}`);
  }

  private async judge(
    change: Change,
    answer: ChangeAnswer,
  ): Promise<ChangeOutcome> {
    switch (answer.accepted) {
      case 'yes':
        return {
          kind: 'accepted',
          revision: answer.revision,
          informed: answer.instancesInformed,
          listed: answer.instancesListed,
        };
      case 'unknown':
        return this.readBack(change, `proposal ${answer.nonce}`);
      case 'no':
        return answer;
    }
  }

  /** Finds out what stands at the only revision that the change can have become. */
  private async readBack(
    change: Change,
    detail: string,
  ): Promise<ChangeOutcome> {
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
      const next = await this.readNext(change.expectedRevision);
      if (next !== undefined) {
        return compare(change, next);
      }
      await this.pause(READ_BACK_PAUSE_MILLISECONDS);
    }
    return {kind: 'outcomeUnknown', detail};
  }

  private async readNext(after: number): Promise<RevisionAnswer | undefined> {
    const outcome: CallOutcome = await this.client.read(
      `${REVISIONS_PATH}?after=${after}`,
    );
    if (outcome.kind !== 'answered') {
      return undefined;
    }
    const answer = revisionsAnswer.safeParse(outcome.body);
    const revisions = answer.success ? answer.data.revisions : [];
    return revisions.find(revision => revision.revision === after + 1);
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, resolve);
    });
  }
}

function compare(change: Change, stored: RevisionAnswer): ChangeOutcome {
  if (isDeepStrictEqual(stored.operations, change.operations)) {
    const {revision} = stored;
    return {kind: 'accepted', revision, informed: undefined, listed: undefined};
  }
  return {
    kind: 'conflict',
    winningRevision: stored.revision,
    operator: stored.operator,
  };
}
