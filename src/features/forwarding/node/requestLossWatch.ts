import {LossKind} from '../../crashes/common/requestLosses.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {CallerRequest} from '../common/callerExchange.js';
import {ForwardingServices} from './forwardingServices.js';
import {AdmittedRequest} from './admittedRequest.js';
import {createRequestKey} from './requestKey.js';

/** Watches which upstreams may have ended under one request and its repeats. */
export class RequestLossWatch {
  private createdKey: string | undefined;
  /** Resolves when peers have been told of the losses so far, as far as they need to know before an answer. */
  private announced: Promise<void> = Promise.resolve();

  constructor(
    private readonly services: Pick<
      ForwardingServices,
      'requestLosses' | 'lossAnnouncer' | 'prober' | 'endedUpstreams'
    >,
    private readonly admitted: AdmittedRequest,
    private readonly request: CallerRequest,
  ) {}

  /** Whether so many upstreams may have ended that the request must not be sent again. */
  get isBlocked(): boolean {
    const {requestLosses} = this.services;
    return !requestLosses.isEmpty && requestLosses.isBlocked(this.key);
  }

  /** Upstreams that may have ended under the request, at any instance. */
  get endedUpstreams(): readonly string[] {
    const {requestLosses} = this.services;
    return requestLosses.isEmpty ? [] : requestLosses.endedUnder(this.key);
  }

  /** Records the loss of an upstream; resolves when peers know what they need to know of the request. */
  async record(upstream: string, kind: LossKind): Promise<void> {
    const {requestLosses, lossAnnouncer} = this.services;
    const urgency = requestLosses.record(this.key, upstream, kind);
    if (urgency === 'toCollector') {
      void lossAnnouncer.report(this.key);
    } else if (urgency === 'beforeAnswer') {
      this.announced = lossAnnouncer.announce(this.key);
    }
    await this.announced;
  }

  /** Asks an upstream whose connection ended whether it still runs. */
  async probe(upstream: Upstream, detail: string): Promise<void> {
    const {endedUpstreams, prober} = this.services;
    const report = await prober.probe(upstream, 'reset', {detail});
    if (report !== undefined) {
      endedUpstreams.recordRunning(upstream.id);
    }
  }

  /** Records that the request has ended, with a whole answer or without. */
  recordEnd(isAnswered: boolean): void {
    const {requestLosses} = this.services;
    if (requestLosses.isEmpty) {
      return;
    }
    if (isAnswered) {
      requestLosses.recordAnswered(this.key);
    } else {
      requestLosses.recordFailed(this.key);
    }
  }

  private get key(): string {
    this.createdKey ??= createRequestKey(this.admitted, this.request);
    return this.createdKey;
  }
}
