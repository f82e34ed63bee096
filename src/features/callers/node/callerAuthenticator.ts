import {failure, Result, success} from '../../../base/common/result.js';
import {
  ClientAccount,
  Configuration,
} from '../../configuration/common/configuration.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {
  bearerKey,
  duplicateFindings,
  HeaderIndex,
} from '../common/callerHeaders.js';
import {invalidRequest, notExecuted} from '../common/failureBody.js';
import {AccountIndex} from './accountIndex.js';

/** Authenticates requests by their bearer key. */
export class CallerAuthenticator {
  private readonly index = new AccountIndex();

  /** Returns the client account of a request, or the reason why authentication failed. */
  authenticate(
    headers: HeaderIndex,
    configuration: Configuration,
  ): Result<ClientAccount, RequestFailure> {
    const duplicates = duplicateFindings(headers);
    if (duplicates.length > 0) {
      return failure(invalidRequest(duplicates));
    }
    const key = bearerKey(headers);
    const account =
      key === undefined ? undefined : this.index.find(configuration, key);
    return account
      ? success(account)
      : failure(notExecuted({kind: 'unauthenticated'}));
  }
}
