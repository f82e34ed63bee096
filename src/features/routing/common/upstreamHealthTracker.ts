import {
  ChartInstance,
  StateChart,
} from '../../../infrastructure/stateChart/common/stateChart.js';
import {StageObservation, UpstreamHealth} from './routing.js';
import {SlownessDetector} from './slownessDetector.js';
import chartDefinition from './upstreamHealth.chart.json' with {type: 'json'};

/** An upstream as listed by the platform. */
export interface ListedUpstream {
  readonly upstream: string;
  readonly dataCentre: string;
  /** Accelerator and layer count; decode times are compared among upstreams of one kind. */
  readonly kind: string;
  readonly leaving: boolean;
  /** Whether it ran before this owner began to track it; it then gets its full limit without a ramp-up. */
  readonly established?: boolean;
}

/** A change of an upstream's health state, for the caller to log and act on. */
export interface HealthChange {
  readonly upstream: string;
  readonly from: HealthState;
  readonly to: HealthState;
  readonly cause: HealthEvent;
}

export type HealthState = 'healthy' | 'quarantined' | 'probing' | 'leaving';

export type HealthEvent =
  | 'failure'
  | 'silence'
  | 'slowness'
  | 'success'
  | 'probeDue'
  | 'listLeaving'
  | 'listLive'
  | 'dataCentreLost';

type HealthAction = 'quarantine' | 'extend' | 'ramp';

const INITIAL_QUARANTINE_MILLISECONDS = 500;
const MAXIMUM_QUARANTINE_MILLISECONDS = 8000;
/** A failure within this time after a recovery doubles the quarantine. */
const RELAPSE_WINDOW_MILLISECONDS = 10000;
const RAMP_MILLISECONDS = 2000;
const RAMP_INITIAL_SHARE = 0.25;
/** Share of upstreams in quarantine above which mere suspicion (silence, slowness) quarantines no more. */
const MAXIMUM_QUARANTINED_SHARE = 0.5;
/** Failures in one data centre within this time count as one event. */
const CORRELATION_WINDOW_MILLISECONDS = 2000;
const CORRELATED_FAILURE_SHARE = 0.5;
const CORRELATED_FAILURE_MINIMUM = 3;

interface TrackedUpstream {
  listed: ListedUpstream;
  readonly chart: ChartInstance<HealthState, HealthEvent, HealthAction>;
  quarantineMilliseconds: number;
  quarantinedAt: number;
  probeAt: number;
  rampStartedAt: number;
  /** Time of the last successful probe. */
  recoveredAt: number;
  failedAt: number;
}

/** Tracks the health of upstreams at one owner, with a state chart for each. */
export class UpstreamHealthTracker {
  private readonly tracked = new Map<string, TrackedUpstream>();
  private readonly slowness = new SlownessDetector();
  private readonly chart = new StateChart<
    HealthState,
    HealthEvent,
    HealthAction
  >(chartDefinition);

  /** Applies a list: adds and removes upstreams and marks leaving ones. New ones ramp up unless `established`. */
  list(
    upstreams: readonly ListedUpstream[],
    now: number,
  ): readonly HealthChange[] {
    const listedNames = new Set(upstreams.map(entry => entry.upstream));
    for (const name of [...this.tracked.keys()]) {
      if (!listedNames.has(name)) {
        this.tracked.delete(name);
        this.slowness.forget(name);
      }
    }
    return upstreams.flatMap(listed => this.updateListed(listed, now));
  }

  /** Applies a dispatcher's observation. Unknown upstreams are ignored. */
  observe(observation: StageObservation, now: number): readonly HealthChange[] {
    const entry = this.tracked.get(observation.upstream);
    if (entry === undefined) {
      return [];
    }
    switch (observation.outcome) {
      case 'failed':
        return this.recordFailure(entry, 'failure', now);
      case 'silent':
        return this.recordFailure(entry, 'silence', now);
      case 'completed':
        return this.recordSuccess(entry, observation, now);
      case 'refused':
      case 'cancelled':
        return [];
    }
  }

  /** Records that a connection to the upstream could not be made or broke. */
  connectionFailed(upstream: string, now: number): readonly HealthChange[] {
    const entry = this.tracked.get(upstream);
    return entry === undefined ? [] : this.recordFailure(entry, 'failure', now);
  }

  /** Records that the upstream responded to a step in time. This ends a probe without waiting for the whole reply. */
  stepSucceeded(upstream: string, now: number): readonly HealthChange[] {
    const entry = this.tracked.get(upstream);
    return entry === undefined ? [] : this.sendEvent(entry, 'success', now);
  }

  /**
   * Moves upstreams whose quarantine is over to probing; meant to be called about every 100 ms. Once the
   * quarantine cap is reached, the list is trusted more than the failures, so quarantines are shortened
   * to the initial time.
   */
  tick(now: number): readonly HealthChange[] {
    const isCapReached = !this.canQuarantineMore();
    return [...this.tracked.values()]
      .filter(entry => entry.chart.state === 'quarantined')
      .filter(entry => {
        const earliestProbe =
          entry.quarantinedAt + INITIAL_QUARANTINE_MILLISECONDS;
        return now >= (isCapReached ? earliestProbe : entry.probeAt);
      })
      .flatMap(entry => this.sendEvent(entry, 'probeDue', now));
  }

  /** Health for routing. Leaving and unlisted upstreams count as quarantined, so they get no new work. */
  health(upstream: string): UpstreamHealth {
    const state = this.tracked.get(upstream)?.chart.state ?? 'quarantined';
    return state === 'leaving' ? 'quarantined' : state;
  }

  /** The engine's sequence limit reduced by ramp-up or probing; at least 1. */
  sequenceLimit(upstream: string, engineLimit: number, now: number): number {
    const entry = this.tracked.get(upstream);
    if (entry === undefined || entry.chart.state === 'probing') {
      return 1;
    }
    const progress = (now - entry.rampStartedAt) / RAMP_MILLISECONDS;
    const share = Math.min(
      1,
      RAMP_INITIAL_SHARE + (1 - RAMP_INITIAL_SHARE) * progress,
    );
    return Math.max(1, Math.floor(engineLimit * share));
  }

  /** Data centres where most upstreams failed within the correlation window. */
  lostDataCentres(now: number): readonly string[] {
    const dataCentres = new Set(
      [...this.tracked.values()].map(entry => entry.listed.dataCentre),
    );
    return [...dataCentres].filter(dataCentre =>
      this.isDataCentreLost(dataCentre, now),
    );
  }

  private updateListed(
    listed: ListedUpstream,
    now: number,
  ): readonly HealthChange[] {
    const known = this.tracked.get(listed.upstream);
    if (known === undefined) {
      this.tracked.set(listed.upstream, this.create(listed, now));
    } else {
      known.listed = listed;
    }
    const entry = this.tracked.get(listed.upstream)!;
    if (listed.leaving) {
      return this.sendEvent(entry, 'listLeaving', now);
    }
    return entry.chart.state === 'leaving'
      ? this.sendEvent(entry, 'listLive', now)
      : [];
  }

  private create(listed: ListedUpstream, now: number): TrackedUpstream {
    return {
      listed,
      chart: new ChartInstance(this.chart),
      quarantineMilliseconds: INITIAL_QUARANTINE_MILLISECONDS,
      quarantinedAt: now,
      probeAt: now,
      rampStartedAt: listed.established === true ? -Infinity : now,
      recoveredAt: -Infinity,
      failedAt: -Infinity,
    };
  }

  private recordSuccess(
    entry: TrackedUpstream,
    observation: StageObservation,
    now: number,
  ): readonly HealthChange[] {
    const {decodeMilliseconds} = observation;
    const {upstream, kind} = entry.listed;
    const isSlow =
      decodeMilliseconds !== undefined &&
      this.slowness.observe(upstream, kind, decodeMilliseconds);
    if (isSlow && this.canQuarantineMore()) {
      return this.sendEvent(entry, 'slowness', now);
    }
    return this.sendEvent(entry, 'success', now);
  }

  /** Applies a connection failure at once, but silence of a healthy upstream only below the quarantine cap. */
  private recordFailure(
    entry: TrackedUpstream,
    event: 'failure' | 'silence',
    now: number,
  ): readonly HealthChange[] {
    const isSuspicion = event === 'silence' && entry.chart.state === 'healthy';
    if (isSuspicion && !this.canQuarantineMore()) {
      return [];
    }
    entry.failedAt = now;
    const changes = this.sendEvent(entry, event, now);
    const dataCentre = entry.listed.dataCentre;
    return this.isDataCentreLost(dataCentre, now)
      ? [...changes, ...this.quarantineDataCentre(dataCentre, now)]
      : changes;
  }

  private quarantineDataCentre(
    dataCentre: string,
    now: number,
  ): readonly HealthChange[] {
    return [...this.tracked.values()]
      .filter(entry => entry.listed.dataCentre === dataCentre)
      .filter(entry => entry.chart.state === 'healthy')
      .flatMap(entry => this.sendEvent(entry, 'dataCentreLost', now));
  }

  /** Whether a data centre's failures count as its loss; never true for the only known data centre. */
  private isDataCentreLost(dataCentre: string, now: number): boolean {
    const all = [...this.tracked.values()];
    const members = all.filter(entry => entry.listed.dataCentre === dataCentre);
    const failed = members.filter(
      entry => now - entry.failedAt <= CORRELATION_WINDOW_MILLISECONDS,
    );
    return (
      members.length < all.length &&
      failed.length >= CORRELATED_FAILURE_MINIMUM &&
      failed.length > members.length * CORRELATED_FAILURE_SHARE
    );
  }

  private canQuarantineMore(): boolean {
    const quarantinedCount = [...this.tracked.values()].filter(
      entry => entry.chart.state === 'quarantined',
    ).length;
    return (
      quarantinedCount + 1 <= this.tracked.size * MAXIMUM_QUARANTINED_SHARE
    );
  }

  private sendEvent(
    entry: TrackedUpstream,
    event: HealthEvent,
    now: number,
  ): readonly HealthChange[] {
    const from = entry.chart.state;
    const step = entry.chart.send(event);
    for (const action of step.actions) {
      this.performAction(entry, action, now);
    }
    if (step.state === from) {
      return [];
    }
    const {upstream} = entry.listed;
    return [{upstream, from, to: step.state, cause: event}];
  }

  private performAction(
    entry: TrackedUpstream,
    action: HealthAction,
    now: number,
  ): void {
    switch (action) {
      case 'quarantine': {
        const isRelapse =
          now - entry.recoveredAt <= RELAPSE_WINDOW_MILLISECONDS;
        this.quarantine(
          entry,
          isRelapse ? 2 * entry.quarantineMilliseconds : 0,
          now,
        );
        this.slowness.forget(entry.listed.upstream);
        return;
      }
      case 'extend':
        this.quarantine(entry, 2 * entry.quarantineMilliseconds, now);
        return;
      case 'ramp':
        entry.rampStartedAt = now;
        entry.recoveredAt = now;
        return;
    }
  }

  private quarantine(
    entry: TrackedUpstream,
    milliseconds: number,
    now: number,
  ): void {
    entry.quarantineMilliseconds = Math.min(
      MAXIMUM_QUARANTINE_MILLISECONDS,
      Math.max(INITIAL_QUARANTINE_MILLISECONDS, milliseconds),
    );
    entry.quarantinedAt = now;
    entry.probeAt = now + entry.quarantineMilliseconds;
  }
}
