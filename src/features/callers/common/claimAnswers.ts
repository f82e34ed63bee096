import {assertNever} from '../../../base/common/result.js';
import {ClaimDecision} from '../../claims/common/claims.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {expiredGrantFinding} from './callerHeaders.js';
import {invalidRequest, maybeExecuted, notExecuted} from './failureBody.js';

/** What a caller is answered for each decision on a claim. */

/** A whole answer to a request, as sent and as recorded. */
export interface CallerAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Run the request, repeat its recorded answer, or refuse it. */
export type ClaimAnswer =
  | {readonly kind: 'run'}
  | {readonly kind: 'replay'; readonly answer: CallerAnswer}
  | {readonly kind: 'refuse'; readonly failure: RequestFailure};

/** Milliseconds after which a caller may ask again for a request that is running. */
const RUNNING_RETRY_MILLISECONDS = 1000;

/** Finds the caller address of an incarnation; undefined when no known instance runs it. */
export type IncarnationAddress = (incarnation: string) => string | undefined;

/** Maps a decision to an answer. */
export function answerForClaim(
  decision: ClaimDecision,
  addressOf: IncarnationAddress,
): ClaimAnswer {
  switch (decision.kind) {
    case 'granted':
      return {kind: 'run'};
    case 'duplicate':
      return answerForOutcome(decision.outcome, []);
    case 'heldElsewhere':
      return answerHeldElsewhere(decision, addressOf);
    case 'refusedNotRun':
      return refuse(invalidRequest([expiredGrantFinding(decision.detail)]));
    case 'noRoom': {
      const {detail, retryAfterMilliseconds} = decision;
      const error = {kind: 'cannotMeetTarget', detail} as const;
      return refuse(notExecuted(error, retryAfterMilliseconds));
    }
    case 'keyReused': {
      // Work that differs by its class alone may have run under the other class.
      const state = decision.sameWork ? maybeExecuted : notExecuted;
      return refuse(state({kind: 'keyReused'}));
    }
    case 'undecided':
      return refuse(
        maybeExecuted(
          {kind: 'claimUndecided', detail: decision.detail},
          decision.retryAfterMilliseconds,
        ),
      );
    default:
      return assertNever(decision);
  }
}

/** Maps what became of an earlier request with the same key to an answer. */
function answerForOutcome(
  outcome: RequestOutcome,
  addresses: readonly string[],
): ClaimAnswer {
  switch (outcome.kind) {
    case 'completed':
      return {kind: 'replay', answer: outcome};
    case 'failed':
      return refuse(outcome.failure);
    case 'running':
      return refuse(
        maybeExecuted(
          {kind: 'duplicate'},
          RUNNING_RETRY_MILLISECONDS,
          addresses,
        ),
      );
    case 'unknown':
      return refuse(maybeExecuted({kind: 'duplicate'}, undefined, addresses));
    default:
      return assertNever(outcome);
  }
}

function answerHeldElsewhere(
  decision: Extract<ClaimDecision, {readonly kind: 'heldElsewhere'}>,
  addressOf: IncarnationAddress,
): ClaimAnswer {
  const address = addressOf(decision.incarnation);
  const addresses = address === undefined ? [] : [address];
  if (decision.outcome !== undefined) {
    return answerForOutcome(decision.outcome, addresses);
  }
  const {incarnation} = decision;
  return refuse(
    maybeExecuted(
      {kind: 'heldElsewhere', incarnation},
      address === undefined ? RUNNING_RETRY_MILLISECONDS : 0,
      addresses,
    ),
  );
}

function refuse(failure: RequestFailure): ClaimAnswer {
  return {kind: 'refuse', failure};
}
