import {RouterResponse} from '../common/callerExchange.js';
import {NotRunReason} from '../common/retryAfter.js';
import {RequestMetadata} from '../common/headerCodec.js';
import {RouteTable} from '../../traffic/common/routeTable.js';
import {
  Route,
  TrafficAccount,
} from '../../traffic/common/trafficConfiguration.js';
import {ForwardingServices} from './forwardingServices.js';
import {HandledRequest} from './handledRequest.js';

/** Deadline of a request that does not state one. */
export const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/** The result of admission: the request's route and account, or why it is not forwarded. */
export type Admission =
  | {
      readonly kind: 'admitted';
      readonly table: RouteTable;
      readonly route: Route;
      readonly account: TrafficAccount | undefined;
    }
  | {readonly kind: 'answer'; readonly answer: RouterResponse}
  | {
      readonly kind: 'refused';
      readonly reason: NotRunReason;
      /** Milliseconds until the request's time limit, where that decided. */
      readonly timeLimit?: number;
    };

/** Decides whether requests are forwarded, by the configuration that is in force and by the time that they have. */
export class RequestAdmission {
  constructor(private readonly services: ForwardingServices) {}

  /** Decides by the configuration of now; waits a little for one that is not confirmed. */
  async admit(request: HandledRequest): Promise<Admission> {
    const {exchange, facts} = request;
    const {configuration} = this.services;
    if (!configuration.isConfirmed) {
      await this.waitForConfirmation();
    }
    const {table} = configuration;
    if (table === undefined) {
      return {kind: 'refused', reason: 'unconfirmed'};
    }
    const {headers, target} = exchange.request;
    if (headerSize(headers) > table.configuration.limits.headerBytes) {
      return rejection(431, 'headers too long');
    }
    const route = table.findRoute(facts.host ?? '', target);
    if (route === undefined) {
      return configuration.isConfirmed
        ? rejection(404, 'no such route')
        : {kind: 'refused', reason: 'unconfirmed'};
    }
    const admission = this.authorize(table, route, facts);
    const deadlineAt = deadlineOf(request, route);
    if (
      admission.kind === 'admitted' &&
      request.mayHaveWaited &&
      this.millisecondsUntil(upstreamDeadlineOf(request, route)) <
        this.services.settings.leastTimeLeftMilliseconds
    ) {
      return {kind: 'refused', reason: 'readLate'};
    }
    if (
      admission.kind === 'admitted' &&
      this.services.stop.mayCutOff(deadlineAt)
    ) {
      const timeLimit = this.millisecondsUntil(deadlineAt);
      return {kind: 'refused', reason: 'stopping', timeLimit};
    }
    return admission;
  }

  private authorize(
    table: RouteTable,
    route: Route,
    facts: RequestMetadata,
  ): Admission {
    if (!table.requiresKeys || route.isPublic) {
      return {kind: 'admitted', table, route, account: undefined};
    }
    if (!this.services.configuration.isConfirmed) {
      return {kind: 'refused', reason: 'unconfirmed'};
    }
    const {key} = facts;
    const account = key === undefined ? undefined : table.findAccount(key);
    return account === undefined
      ? rejection(401, 'unknown key')
      : {kind: 'admitted', table, route, account};
  }

  /** A confirmation is usually in progress, so a short wait serves more callers than refusing at once. */
  private waitForConfirmation(): Promise<void> {
    const {clock, configuration, settings} = this.services;
    return new Promise(resolve => {
      const finish = (): void => {
        timer.dispose();
        listener.dispose();
        resolve();
      };
      const timer = clock.setTimer(
        settings.confirmationWaitMilliseconds,
        finish,
      );
      const listener = configuration.onDidConfirm(finish);
    });
  }

  private millisecondsUntil(moment: number): number {
    return Math.round(moment - this.services.clock.monotonicMilliseconds());
  }
}

/** Monotonic milliseconds at which a request ends at the latest. */
export function deadlineOf(
  {exchange, facts}: HandledRequest,
  route: Route,
): number {
  const timeLimit = facts.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS;
  const {receivedAt} = exchange.request;
  return receivedAt + Math.min(timeLimit, route.timeoutMilliseconds);
}

/** Monotonic milliseconds until which the caller of a request surely waits, unless it leaves before its time. */
export function upstreamDeadlineOf(
  request: HandledRequest,
  route: Route,
): number {
  const {receivedAt} = request.exchange.request;
  return deadlineOf(request, route) - (receivedAt - request.arrivedAt);
}

/** An answer to a request that is invalid, too large or not authorized. */
export function rejection(
  status: 401 | 404 | 413 | 431,
  reason: string,
): Extract<Admission, {kind: 'answer'}> {
  return {kind: 'answer', answer: {kind: 'rejected', status, reason}};
}

/** Approximate size of the headers in bytes. */
function headerSize(headers: readonly string[]): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0);
}
