import {assertNever} from '../../../base/common/result.js';
import {ClaimDecision} from '../../claims/common/claimService.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {expiredGrantFinding} from './callerHeaders.js';
import {invalidRequest, maybeExecuted, notExecuted} from './failureBody.js';

/** Maps decisions on key claims to the responses that callers get. */

/** A complete response, as sent and as recorded. */
export interface ResponseContent {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** What to do with a request after its claim: run it, replay the recorded response, or refuse it. */
export type ClaimAction =
  | {readonly kind: 'run'}
  | {readonly kind: 'replay'; readonly answer: ResponseContent}
  | {readonly kind: 'refuse'; readonly failure: RequestFailure};

/** Milliseconds after which a caller may retry a request that is still running. */
const RUNNING_RETRY_MILLISECONDS = 1000;

/** Returns the caller address of the instance that runs an incarnation; undefined when none is known. */
export type IncarnationAddressResolver = (
  incarnation: string,
) => string | undefined;

/** Maps a claim decision to the action on the request. */
export function actionForClaim(
  decision: ClaimDecision,
  addressOf: IncarnationAddressResolver,
): ClaimAction {
  switch (decision.kind) {
    case 'granted':
      return {kind: 'run'};
    case 'duplicate':
      return actionForOutcome(decision.outcome, []);
    case 'heldElsewhere':
      return actionForKeyHeldElsewhere(decision, addressOf);
    case 'refusedNotRun':
      return refuse(invalidRequest([expiredGrantFinding(decision.detail)]));
    case 'noRoom': {
      const {detail, retryAfterMilliseconds} = decision;
      const error = {kind: 'cannotMeetTarget', detail} as const;
      return refuse(notExecuted(error, retryAfterMilliseconds));
    }
    case 'keyReused': {
      // The same work may already have run under another class.
      const createFailure = decision.sameWork ? maybeExecuted : notExecuted;
      return refuse(createFailure({kind: 'keyReused'}));
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

/** Maps the outcome of an earlier request with the same key to an action. */
function actionForOutcome(
  outcome: RequestOutcome,
  addresses: readonly string[],
): ClaimAction {
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

function actionForKeyHeldElsewhere(
  decision: Extract<ClaimDecision, {readonly kind: 'heldElsewhere'}>,
  addressOf: IncarnationAddressResolver,
): ClaimAction {
  const address = addressOf(decision.incarnation);
  const addresses = address === undefined ? [] : [address];
  if (decision.outcome !== undefined) {
    return actionForOutcome(decision.outcome, addresses);
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

function refuse(failure: RequestFailure): ClaimAction {
  return {kind: 'refuse', failure};
}
