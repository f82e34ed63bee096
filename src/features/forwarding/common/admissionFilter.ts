import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamAdmission} from '../../fleet/common/upstreamAdmission.js';

/** When a request could be sent that was refused for what upstreams ask of instances. */
export interface AdmissionWait {
  /** Milliseconds until this instance may send it; Infinity if other instances use the limits. */
  readonly ownMilliseconds: number;
  /** Milliseconds until some instance may send it. */
  readonly anyMilliseconds: number;
}

/** Filters the candidates of one choice by what they ask of instances, and tells whether only that left none. */
export class AdmissionFilter {
  private readonly passedOver: Upstream[] = [];
  private hasAccepted = false;

  constructor(private readonly admission: UpstreamAdmission) {}

  /** Whether a usable candidate may get a request now. */
  accepts(upstream: Upstream): boolean {
    const isAccepted = this.admission.canSend(upstream);
    if (isAccepted) {
      this.hasAccepted = true;
    } else {
      this.passedOver.push(upstream);
    }
    return isAccepted;
  }

  /** The wait if every usable candidate was passed over; undefined otherwise. */
  get wait(): AdmissionWait | undefined {
    if (this.hasAccepted || this.passedOver.length === 0) {
      return undefined;
    }
    const {passedOver, admission} = this;
    const own = passedOver.map(upstream =>
      admission.millisecondsUntilPermit(upstream),
    );
    const any = passedOver.map(upstream =>
      admission.millisecondsUntilAnyPermit(upstream),
    );
    return {
      ownMilliseconds: Math.min(...own),
      anyMilliseconds: Math.min(...own, ...any),
    };
  }
}
