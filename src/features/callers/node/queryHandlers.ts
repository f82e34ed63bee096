import {IncomingMessage, ServerResponse} from 'node:http';

import {CancellationSource} from '../../../base/common/cancellation.js';
import {failure, Result} from '../../../base/common/result.js';
import {ClientAccount} from '../../configuration/common/configuration.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {
  MAX_IDEMPOTENCY_KEY_LENGTH,
  indexHeaders,
} from '../common/callerHeaders.js';
import {
  maybeExecuted,
  notExecuted,
  toFailureBody,
} from '../common/failureBody.js';
import {GATE_RETRY_MILLISECONDS} from '../common/requestGate.js';
import {CallerAuthenticator} from './callerAuthenticator.js';
import {CallerResponse} from './callerResponse.js';
import {CallerDependencies} from './callerDependencies.js';

/** Timeout of the lookup of a key. */
const LOOK_UP_TIMEOUT_MILLISECONDS = 5000;

const OUTCOME_PATH_PREFIX = '/v1/requests/';

/** The response body of `GET /v1/entrypoints`. */
export interface EntrypointsBody {
  /** Caller addresses, best first. */
  readonly addresses: readonly string[];
  /** Seconds for which the response may be cached. */
  readonly keepSeconds: number;
  /**
   * Prefix of keys that only the instance at `grantAddress` may run; null while this instance accepts no new
   * work.
   */
  readonly grant: string | null;
  readonly grantAddress: string | null;
}

/** Handles the read-only calls: entrypoints, outcome of a key, health. */
export class QueryHandlers {
  /** Number of lookups in progress; bounded because one connection can pipeline many. */
  private activeLookUps = 0;

  constructor(
    private readonly services: CallerDependencies,
    private readonly authenticator: CallerAuthenticator,
  ) {}

  /** `GET /v1/entrypoints`. */
  entrypoints(request: IncomingMessage, response: ServerResponse): void {
    const callerResponse = this.createResponse(response);
    const account = this.authenticate(request);
    if (!account.ok) {
      callerResponse.sendFailure(account.error);
      return;
    }
    callerResponse.sendJson(200, this.entrypointsFor(account.value.name));
  }

  /** `GET /v1/requests/{key}`. */
  async outcome(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const callerResponse = this.createResponse(response);
    const account = this.authenticate(request);
    if (!account.ok) {
      callerResponse.sendFailure(account.error);
      return;
    }
    const {concurrentRequestLimit} = this.services.settings;
    if (this.activeLookUps >= concurrentRequestLimit) {
      const detail = 'this instance has as many look-ups as it may';
      const error = {kind: 'cannotMeetTarget', detail} as const;
      callerResponse.sendFailure(maybeExecuted(error, GATE_RETRY_MILLISECONDS));
      return;
    }
    const key = parseKey(request.url ?? '');
    const outcome = await this.lookUp(account.value.name, key, response);
    if (outcome === undefined) {
      const what = 'request known with this key';
      callerResponse.sendFailure(maybeExecuted({kind: 'notFound', what}));
      return;
    }
    callerResponse.sendJson(200, toOutcomeBody(key, outcome));
  }

  /** `GET /v1/health`: 200 while new work is accepted, otherwise 503. */
  health(response: ServerResponse): void {
    const {gate, views} = this.services;
    const status = gate.isServing ? 200 : 503;
    this.createResponse(response).sendJson(status, {
      serving: gate.isServing,
      leaving: gate.isLeaving,
      revision: views.current?.configuration.revision ?? 0,
      requests: gate.count,
    });
  }

  private createResponse(response: ServerResponse): CallerResponse {
    const {clock, gate} = this.services;
    return new CallerResponse(response, clock, () => gate.isLeaving);
  }

  private authenticate(
    request: IncomingMessage,
  ): Result<ClientAccount, RequestFailure> {
    const view = this.services.views.current;
    if (view === undefined || view.configuration.revision < 1) {
      return failure(notExecuted({kind: 'cutOff'}, GATE_RETRY_MILLISECONDS));
    }
    const headers = indexHeaders(request.rawHeaders);
    return this.authenticator.authenticate(headers, view.configuration);
  }

  private entrypointsFor(clientAccount: string): EntrypointsBody {
    const {gate, claims, settings} = this.services;
    const isServing = gate.isServing;
    return {
      addresses: gate.addressesFor(clientAccount),
      keepSeconds: settings.entrypointsSeconds,
      grant: isServing ? claims.issueGrant(clientAccount) : null,
      grantAddress: isServing ? settings.callerAddress : null,
    };
  }

  private async lookUp(
    clientAccount: string,
    key: string,
    response: ServerResponse,
  ): Promise<RequestOutcome | undefined> {
    if (key === '' || key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
      return undefined;
    }
    this.activeLookUps += 1;
    const source = new CancellationSource();
    source.cancelAfter(LOOK_UP_TIMEOUT_MILLISECONDS, 'lookup timed out');
    response.once('close', () => source.cancel('callerGone'));
    try {
      return await this.services.claims.findOutcome(
        clientAccount,
        key,
        source.token,
      );
    } finally {
      this.activeLookUps -= 1;
      source.dispose();
    }
  }
}

function parseKey(url: string): string {
  const [path] = url.split('?', 1);
  try {
    return decodeURIComponent(path!.slice(OUTCOME_PATH_PREFIX.length));
  } catch {
    return '';
  }
}

function toOutcomeBody(key: string, outcome: RequestOutcome): unknown {
  switch (outcome.kind) {
    case 'completed':
      return {
        key,
        state: outcome.kind,
        status: outcome.status,
        contentType: outcome.contentType,
        body: outcome.body,
      };
    case 'failed':
      return {key, state: outcome.kind, ...toFailureBody(outcome.failure)};
    default:
      return {key, state: outcome.kind};
  }
}
