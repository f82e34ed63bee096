import {IncomingMessage, ServerResponse} from 'node:http';

import {CancellationSource} from '../../../base/common/cancellation.js';
import {failure, Result} from '../../../base/common/result.js';
import {ClientAccount} from '../../configuration/common/configuration.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {IDEMPOTENCY_KEY_LIMIT, indexHeaders} from '../common/callerHeaders.js';
import {
  maybeExecuted,
  notExecuted,
  toFailureBody,
} from '../common/failureBody.js';
import {GATE_RETRY_MILLISECONDS} from '../common/requestGate.js';
import {CallerAuthenticator} from './callerAuthenticator.js';
import {CallerResponse} from './callerResponse.js';
import {CallerServices} from './callerServices.js';

/** Milliseconds that a look-up of a key may take. */
const LOOK_UP_LIMIT_MILLISECONDS = 5000;

const OUTCOME_PREFIX = '/v1/requests/';

/** The answer of `GET /v1/entrypoints`. */
export interface EntrypointsBody {
  /** Caller addresses, best first. */
  readonly addresses: readonly string[];
  /** Seconds for which the answer may be kept. */
  readonly keepSeconds: number;
  /** Start of keys that the instance at `grantAddress` alone may run; null while it takes no new work. */
  readonly grant: string | null;
  readonly grantAddress: string | null;
}

/** The calls that only ask: entrypoints, the outcome of a key, health. */
export class QueryHandlers {
  /** Look-ups under way: one connection may send many before the first is answered. */
  private lookUps = 0;

  constructor(
    private readonly services: CallerServices,
    private readonly authenticator: CallerAuthenticator,
  ) {}

  /** `GET /v1/entrypoints`. */
  entrypoints(request: IncomingMessage, response: ServerResponse): void {
    const answer = this.open(response);
    const account = this.authenticate(request);
    if (!account.ok) {
      answer.sendFailure(account.error);
      return;
    }
    answer.sendJson(200, this.entrypointsFor(account.value.name));
  }

  /** `GET /v1/requests/{key}`. */
  async outcome(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const answer = this.open(response);
    const account = this.authenticate(request);
    if (!account.ok) {
      answer.sendFailure(account.error);
      return;
    }
    const {concurrentRequestLimit} = this.services.settings;
    if (this.lookUps >= concurrentRequestLimit) {
      const detail = 'this instance has as many look-ups as it may';
      const error = {kind: 'cannotMeetTarget', detail} as const;
      answer.sendFailure(maybeExecuted(error, GATE_RETRY_MILLISECONDS));
      return;
    }
    const key = readKey(request.url ?? '');
    const outcome = await this.lookUp(account.value.name, key, response);
    if (outcome === undefined) {
      const what = 'request known with this key';
      answer.sendFailure(maybeExecuted({kind: 'notFound', what}));
      return;
    }
    answer.sendJson(200, toOutcomeBody(key, outcome));
  }

  /** `GET /v1/health`: 200 while new work is taken. */
  health(response: ServerResponse): void {
    const {gate, views} = this.services;
    const status = gate.isServing ? 200 : 503;
    this.open(response).sendJson(status, {
      serving: gate.isServing,
      leaving: gate.isLeaving,
      revision: views.current?.configuration.revision ?? 0,
      requests: gate.count,
    });
  }

  private open(response: ServerResponse): CallerResponse {
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
    if (key === '' || key.length > IDEMPOTENCY_KEY_LIMIT) {
      return undefined;
    }
    this.lookUps += 1;
    const source = new CancellationSource();
    source.cancelAfter(LOOK_UP_LIMIT_MILLISECONDS, 'look-up took too long');
    response.once('close', () => source.cancel('callerGone'));
    try {
      return await this.services.claims.lookUp(
        clientAccount,
        key,
        source.token,
      );
    } finally {
      this.lookUps -= 1;
      source.dispose();
    }
  }
}

function readKey(url: string): string {
  const [path] = url.split('?', 1);
  try {
    return decodeURIComponent(path!.slice(OUTCOME_PREFIX.length));
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
