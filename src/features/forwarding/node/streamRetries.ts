import {ForwardingServices} from './forwardingServices.js';
import {AdmittedRequest} from './admittedRequest.js';

/**
 * Maximum attempts per stream, whatever the budget allows: a stream that broke this often may
 * itself cause the failures.
 */
const ATTEMPT_LIMIT = 10;

/** State of a stream that its retries depend on. */
export interface RetriedStream {
  /** Whether its caller has received events. */
  readonly hasBegun: boolean;
  /** Whether enough time is left for another attempt. */
  readonly hasTimeForAttempt: boolean;
}

/** Counts the attempts of a stream, and decides whether it may be sent again. */
export class StreamRetries {
  private attemptCount = 0;

  constructor(
    private readonly services: Pick<ForwardingServices, 'budget'>,
    private readonly admitted: AdmittedRequest,
    private readonly readState: () => RetriedStream,
  ) {}

  /** Attempts so far. */
  get count(): number {
    return this.attemptCount;
  }

  /** Whether a request that was already sent may be sent again. */
  get canResend(): boolean {
    return this.admitted.route.isResumable;
  }

  /** Whether no further attempt is possible, now or later. */
  get isExhausted(): boolean {
    return (
      !this.readState().hasTimeForAttempt || this.attemptCount >= ATTEMPT_LIMIT
    );
  }

  recordAttempt(): void {
    this.attemptCount++;
  }

  /** Takes a retry from the budget that all streams share; returns false if there is none for this stream now. */
  tryTake(): boolean {
    const {service} = this.admitted;
    const priority = this.readState().hasBegun ? 'begun' : 'first';
    return !this.isExhausted && this.services.budget.tryTake(service, priority);
  }
}
