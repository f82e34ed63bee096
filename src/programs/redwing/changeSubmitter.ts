import {isDeepStrictEqual} from 'node:util';

import {Clock} from '../../base/common/clock.js';
import {Finding} from '../../base/common/finding.js';
import {
  ChangeResponse,
  StoredRevision,
  changeResponseSchema,
  revisionsResponseSchema,
} from './administrationResponses.js';
import {AdministrationClient, CallOutcome} from './administrationClient.js';

/** A change to the configuration, based on a specific revision. */
export interface Change {
  readonly operations: readonly unknown[];
  readonly expectedRevision: number;
}

/** Outcome of a submitted change. */
export type ChangeOutcome =
  | {
      readonly kind: 'accepted';
      readonly revision: number;
      /** Number of instances that confirmed the revision; undefined when the response was lost. */
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
const HTTP_UNAUTHORIZED = 401;
const READ_BACK_ATTEMPTS = 5;
const READ_BACK_INTERVAL_MILLISECONDS = 250;

/**
 * Submits changes. A change states the revision it is based on, so it can only become the next one. When the
 * response is lost, that revision is read back; the change is never resent.
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
    if (outcome.status === HTTP_UNAUTHORIZED) {
      return {kind: 'unauthenticated'};
    }
    const response = changeResponseSchema.safeParse(outcome.body);
    return response.success
      ? this.interpretResponse(change, response.data)
      : this.readBack(change, `an answer with status ${outcome.status}`);
  }

  private async interpretResponse(
    change: Change,
    response: ChangeResponse,
  ): Promise<ChangeOutcome> {
    switch (response.accepted) {
      case 'yes':
        return {
          kind: 'accepted',
          revision: response.revision,
          informed: response.instancesInformed,
          listed: response.instancesListed,
        };
      case 'unknown':
        return this.readBack(change, `proposal ${response.nonce}`);
      case 'no':
        return response;
    }
  }

  /** Determines the outcome from the revision after the expected one, the only one that the change can become. */
  private async readBack(
    change: Change,
    detail: string,
  ): Promise<ChangeOutcome> {
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
      const next = await this.readNextRevision(change.expectedRevision);
      if (next !== undefined) {
        return compareWithStored(change, next);
      }
      await this.pause(READ_BACK_INTERVAL_MILLISECONDS);
    }
    return {kind: 'outcomeUnknown', detail};
  }

  private async readNextRevision(
    after: number,
  ): Promise<StoredRevision | undefined> {
    const outcome: CallOutcome = await this.client.read(
      `${REVISIONS_PATH}?after=${after}`,
    );
    if (outcome.kind !== 'answered') {
      return undefined;
    }
    const response = revisionsResponseSchema.safeParse(outcome.body);
    const revisions = response.success ? response.data.revisions : [];
    return revisions.find(revision => revision.revision === after + 1);
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, resolve);
    });
  }
}

function compareWithStored(
  change: Change,
  stored: StoredRevision,
): ChangeOutcome {
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
