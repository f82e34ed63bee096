import {
  ChartInstance,
  StateChart,
} from '../../../infrastructure/stateChart/common/stateChart.js';
import {StageObservation, UpstreamHealth} from './routing.js';
import {SlownessDetector} from './slownessDetector.js';
import chartDefinition from './upstreamHealth.chart.json' with {type: 'json'};

/** An upstream as the platform's list shows it. */
export interface ListedUpstream {
  readonly upstream: string;
  readonly dataCentre: string;
  /** Upstreams of one kind (accelerator and size of layer range) are compared in speed. */
  readonly kind: string;
  readonly leaving: boolean;
  /** Whether it ran before it came to be followed here, so that it is given its whole limit at once. */
  readonly established?: boolean;
}

/** A change to an upstream's health, to be logged and acted on. */
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

const FIRST_QUARANTINE_MILLISECONDS = 500;
const LONGEST_QUARANTINE_MILLISECONDS = 8000;
/** Failing again this soon after a return doubles the quarantine. */
const RELAPSE_MILLISECONDS = 10000;
const RAMP_MILLISECONDS = 2000;
const RAMP_START = 0.25;
/** Largest share of the upstreams that suspicion (silence, slowness) may keep out at once. */
const QUARANTINE_CAP = 0.5;
/** Failures of one data centre within this time count as one event. */
const CORRELATION_MILLISECONDS = 2000;
const CORRELATED_SHARE = 0.5;
const CORRELATED_MINIMUM = 3;

interface TrackedUpstream {
  listed: ListedUpstream;
  readonly chart: ChartInstance<HealthState, HealthEvent, HealthAction>;
  quarantineMilliseconds: number;
  quarantinedAt: number;
  probeAt: number;
  rampFrom: number;
  /** When a probe last succeeded. */
  returnedAt: number;
  failedAt: number;
}

/** Follows the health of upstreams at one owner, by a state chart for each. */
export class UpstreamHealthTracker {
  private readonly tracked = new Map<string, TrackedUpstream>();
  private readonly slowness = new SlownessDetector();
  private readonly chart = new StateChart<
    HealthState,
    HealthEvent,
    HealthAction
  >(chartDefinition);

  /** Takes the list: adds, removes and marks upstreams. New ones ramp up from `now` unless established. */
  list(
    upstreams: readonly ListedUpstream[],
    now: number,
  ): readonly HealthChange[] {
    const names = new Set(upstreams.map(one => one.upstream));
    for (const name of [...this.tracked.keys()]) {
      if (!names.has(name)) {
        this.tracked.delete(name);
        this.slowness.forget(name);
      }
    }
    return upstreams.flatMap(listed => this.take(listed, now));
  }

  /** Takes what a dispatcher saw of an upstream. Unknown upstreams are ignored. */
  observe(observation: StageObservation, now: number): readonly HealthChange[] {
    const one = this.tracked.get(observation.upstream);
    if (one === undefined) {
      return [];
    }
    switch (observation.outcome) {
      case 'failed':
        return this.fail(one, 'failure', now);
      case 'silent':
        return this.fail(one, 'silence', now);
      case 'completed':
        return this.succeed(one, observation, now);
      case 'refused':
      case 'cancelled':
        return [];
    }
  }

  /** A connection to the upstream could not be made or broke. */
  connectionFailed(upstream: string, now: number): readonly HealthChange[] {
    const one = this.tracked.get(upstream);
    return one === undefined ? [] : this.fail(one, 'failure', now);
  }

  /** The upstream answered a step in time; ends a probe without waiting for the whole reply. */
  stepSucceeded(upstream: string, now: number): readonly HealthChange[] {
    const one = this.tracked.get(upstream);
    return one === undefined ? [] : this.send(one, 'success', now);
  }

  /**
   * Lets quarantined upstreams whose time is over be probed; call it often (each 100 ms, say).
   * Above the cap the list is trusted more than the failures, so longer quarantines are cut short.
   */
  tick(now: number): readonly HealthChange[] {
    const overCap = !this.mayQuarantineMore();
    return [...this.tracked.values()]
      .filter(one => one.chart.state === 'quarantined')
      .filter(one => {
        const shortest = one.quarantinedAt + FIRST_QUARANTINE_MILLISECONDS;
        return now >= (overCap ? shortest : one.probeAt);
      })
      .flatMap(one => this.send(one, 'probeDue', now));
  }

  /** Health for routing. What leaves gets no new work; unlisted upstreams count as quarantined. */
  health(upstream: string): UpstreamHealth {
    const state = this.tracked.get(upstream)?.chart.state ?? 'quarantined';
    return state === 'leaving' ? 'quarantined' : state;
  }

  /** The engine's sequence limit after ramp and probe; at least 1. */
  sequenceLimit(upstream: string, engineLimit: number, now: number): number {
    const one = this.tracked.get(upstream);
    if (one === undefined || one.chart.state === 'probing') {
      return 1;
    }
    const progress = (now - one.rampFrom) / RAMP_MILLISECONDS;
    const share = Math.min(1, RAMP_START + (1 - RAMP_START) * progress);
    return Math.max(1, Math.floor(engineLimit * share));
  }

  /** Data centres of which most upstreams failed within a short time. */
  lostDataCentres(now: number): readonly string[] {
    const centres = new Set(
      [...this.tracked.values()].map(one => one.listed.dataCentre),
    );
    return [...centres].filter(centre => this.isLost(centre, now));
  }

  private take(listed: ListedUpstream, now: number): readonly HealthChange[] {
    const known = this.tracked.get(listed.upstream);
    if (known === undefined) {
      this.tracked.set(listed.upstream, this.create(listed, now));
    } else {
      known.listed = listed;
    }
    const one = this.tracked.get(listed.upstream)!;
    if (listed.leaving) {
      return this.send(one, 'listLeaving', now);
    }
    return one.chart.state === 'leaving' ? this.send(one, 'listLive', now) : [];
  }

  private create(listed: ListedUpstream, now: number): TrackedUpstream {
    return {
      listed,
      chart: new ChartInstance(this.chart),
      quarantineMilliseconds: FIRST_QUARANTINE_MILLISECONDS,
      quarantinedAt: now,
      probeAt: now,
      rampFrom: listed.established === true ? -Infinity : now,
      returnedAt: -Infinity,
      failedAt: -Infinity,
    };
  }

  private succeed(
    one: TrackedUpstream,
    observation: StageObservation,
    now: number,
  ): readonly HealthChange[] {
    const {decodeMilliseconds} = observation;
    const {upstream, kind} = one.listed;
    const slow =
      decodeMilliseconds !== undefined &&
      this.slowness.observe(upstream, kind, decodeMilliseconds);
    if (slow && this.mayQuarantineMore()) {
      return this.send(one, 'slowness', now);
    }
    return this.send(one, 'success', now);
  }

  /** A failed connection counts at once; mere suspicion only below the cap. */
  private fail(
    one: TrackedUpstream,
    event: 'failure' | 'silence',
    now: number,
  ): readonly HealthChange[] {
    const suspicion = event === 'silence' && one.chart.state === 'healthy';
    if (suspicion && !this.mayQuarantineMore()) {
      return [];
    }
    one.failedAt = now;
    const changes = this.send(one, event, now);
    const centre = one.listed.dataCentre;
    return this.isLost(centre, now)
      ? [...changes, ...this.loseDataCentre(centre, now)]
      : changes;
  }

  private loseDataCentre(centre: string, now: number): readonly HealthChange[] {
    return [...this.tracked.values()]
      .filter(one => one.listed.dataCentre === centre)
      .filter(one => one.chart.state === 'healthy')
      .flatMap(one => this.send(one, 'dataCentreLost', now));
  }

  /** Whether a data centre's failures are one event; never said of the only data centre known. */
  private isLost(centre: string, now: number): boolean {
    const all = [...this.tracked.values()];
    const members = all.filter(one => one.listed.dataCentre === centre);
    const failed = members.filter(
      one => now - one.failedAt <= CORRELATION_MILLISECONDS,
    );
    return (
      members.length < all.length &&
      failed.length >= CORRELATED_MINIMUM &&
      failed.length > members.length * CORRELATED_SHARE
    );
  }

  private mayQuarantineMore(): boolean {
    const out = [...this.tracked.values()].filter(
      one => one.chart.state === 'quarantined',
    ).length;
    return out + 1 <= this.tracked.size * QUARANTINE_CAP;
  }

  private send(
    one: TrackedUpstream,
    event: HealthEvent,
    now: number,
  ): readonly HealthChange[] {
    const from = one.chart.state;
    const step = one.chart.send(event);
    for (const action of step.actions) {
      this.act(one, action, now);
    }
    if (step.state === from) {
      return [];
    }
    const {upstream} = one.listed;
    return [{upstream, from, to: step.state, cause: event}];
  }

  private act(one: TrackedUpstream, action: HealthAction, now: number): void {
    switch (action) {
      case 'quarantine': {
        const relapse = now - one.returnedAt <= RELAPSE_MILLISECONDS;
        this.quarantine(one, relapse ? 2 * one.quarantineMilliseconds : 0, now);
        this.slowness.forget(one.listed.upstream);
        return;
      }
      case 'extend':
        this.quarantine(one, 2 * one.quarantineMilliseconds, now);
        return;
      case 'ramp':
        one.rampFrom = now;
        one.returnedAt = now;
        return;
    }
  }

  private quarantine(
    one: TrackedUpstream,
    milliseconds: number,
    now: number,
  ): void {
    one.quarantineMilliseconds = Math.min(
      LONGEST_QUARANTINE_MILLISECONDS,
      Math.max(FIRST_QUARANTINE_MILLISECONDS, milliseconds),
    );
    one.quarantinedAt = now;
    one.probeAt = now + one.quarantineMilliseconds;
  }
}
