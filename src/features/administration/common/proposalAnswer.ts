import {assertNever} from '../../../base/common/result.js';
import {
  ProposalError,
  ProposalResult,
} from '../../configuration/common/configuration.js';
import {Handover} from '../../peers/common/peerExchanger.js';

/** What an operator is told of a proposal. */

/** A status and a JSON body. */
export interface ApiAnswer {
  readonly status: number;
  readonly body: unknown;
}

/**
 * 201: accepted: committed, and a majority of the listed instances know it.
 * 202: committed, but fewer know it yet, so that it isn't surely in force; or the outcome could not be found out.
 */
export function toAnswer(
  result: ProposalResult,
  handover: Handover | undefined,
): ApiAnswer {
  if (!result.ok) {
    return toErrorAnswer(result.error);
  }
  const {revision, operator, nonce} = result.value;
  const acknowledged = handover?.acknowledged ?? 0;
  const listed = handover?.listed ?? 0;
  const isMajority = acknowledged * 2 > listed;
  return {
    status: isMajority ? 201 : 202,
    body: {
      accepted: isMajority ? 'yes' : 'pending',
      revision,
      operator,
      nonce,
      instancesInformed: acknowledged,
      instancesListed: listed,
    },
  };
}

function toErrorAnswer(error: ProposalError): ApiAnswer {
  switch (error.kind) {
    case 'invalid':
      return {status: 400, body: {accepted: 'no', ...error}};
    case 'conflict':
      return {status: 409, body: {accepted: 'no', ...error}};
    case 'unavailable':
      return {status: 503, body: {accepted: 'no', ...error}};
    case 'outcomeUnknown':
      return {status: 202, body: {accepted: 'unknown', ...error}};
    default:
      return assertNever(error);
  }
}
