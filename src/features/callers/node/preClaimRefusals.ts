import {RequestFailure} from '../../requests/common/failure.js';
import {HeaderIndex, headerNames} from '../common/callerHeaders.js';
import {CallerAuthenticator} from './callerAuthenticator.js';
import {CallerDependencies} from './callerDependencies.js';

/**
 * Sets the execution status of refusals that are sent before the key is claimed. An earlier submission with the
 * key may be running or have run on any instance. `executed: no` would then be wrong for the request, although
 * this submission executed nothing.
 */
export class PreClaimRefusals {
  constructor(
    private readonly services: Pick<CallerDependencies, 'claims' | 'views'>,
    private readonly authenticator: CallerAuthenticator,
  ) {}

  /** Returns the refusal; with `executed: unknown` when the request has a key that may have been used. */
  state(refusal: RequestFailure, headers: HeaderIndex): RequestFailure {
    const name = headerNames.idempotencyKey.toLowerCase();
    const key = headers.values.get(name);
    return key === undefined || this.isKnownNotRun(key, headers)
      ? refusal
      : {...refusal, executed: 'unknown'};
  }

  private isKnownNotRun(key: string, headers: HeaderIndex): boolean {
    const {claims, views} = this.services;
    const configuration = views.current?.configuration;
    if (configuration === undefined) {
      return false;
    }
    const account = this.authenticator.authenticate(headers, configuration);
    return account.ok && claims.isProvenNotRun(account.value.name, key);
  }
}
