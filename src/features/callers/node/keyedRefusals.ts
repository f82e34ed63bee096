import {RequestFailure} from '../../requests/common/failure.js';
import {HeaderIndex, headerNames} from '../common/callerHeaders.js';
import {CallerAuthenticator} from './callerAuthenticator.js';
import {CallerServices} from './callerServices.js';

/**
 * States refusals that come before a key is claimed. A key may be running or have run, here or elsewhere, under
 * an earlier submission; then `executed: no` would be untrue of the request, though this submission ran nothing.
 */
export class KeyedRefusals {
  constructor(
    private readonly services: Pick<CallerServices, 'claims' | 'views'>,
    private readonly authenticator: CallerAuthenticator,
  ) {}

  /** The refusal, with `executed: unknown` where the request has a key of which more isn't known. */
  state(refusal: RequestFailure, headers: HeaderIndex): RequestFailure {
    const name = headerNames.idempotencyKey.toLowerCase();
    const key = headers.values.get(name);
    return key === undefined || this.isSurelyNotRun(key, headers)
      ? refusal
      : {...refusal, executed: 'unknown'};
  }

  private isSurelyNotRun(key: string, headers: HeaderIndex): boolean {
    const {claims, views} = this.services;
    const configuration = views.current?.configuration;
    if (configuration === undefined) {
      return false;
    }
    const account = this.authenticator.authenticate(headers, configuration);
    return account.ok && claims.isSurelyNotRun(account.value.name, key);
  }
}
