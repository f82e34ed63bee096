import {assertNever} from '../../../base/common/result.js';
import {
  ProposalError,
  ProposalResult,
} from '../../configuration/common/configuration.js';
import {NoticeCoverage} from '../../peers/common/peerExchanger.js';

/** Conversion of proposal results to HTTP responses. */

/** A status and a JSON body. */
export interface ApiResponse {
  readonly status: number;
  readonly body: unknown;
}

/**
 * Status 201: the revision is committed and a majority of the listed instances have received it.
 * Status 202: it is committed but fewer instances have received it, so it may not be in effect yet; or the outcome
 * could not be determined.
 */
export function toProposalResponse(
  result: ProposalResult,
  handover: NoticeCoverage | undefined,
): ApiResponse {
  if (!result.ok) {
    return toErrorResponse(result.error);
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

function toErrorResponse(error: ProposalError): ApiResponse {
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
