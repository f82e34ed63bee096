import {LayerRange} from '../../../infrastructure/engine/common/engineConnection.js';

/**
 * Routing over cells. A cell is a bounded group of replicas of one model in one data centre. One
 * entry instance, by rendezvous, owns a cell: it knows all that is outstanding there and decides.
 * Ownership is soft: two owners or none only worsen estimates; no invariant depends on it.
 */

/** Health of an upstream as the router sees it. */
export type UpstreamHealth = 'healthy' | 'probing' | 'quarantined';

/** One engine as the cell's owner knows it; times are monotonic milliseconds of the owner. */
export interface StageView {
  readonly upstream: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly replica: string;
  readonly acceleratorKind: string;
  readonly layers: LayerRange;
  readonly health: UpstreamHealth;
  readonly leaving: boolean;
  /** Sequences that may be resident at once, after the learned concurrency limit and ramp. */
  readonly sequenceLimit: number;
  /** Expected finish times of the sequences resident or waiting here, ascending. */
  readonly busyUntil: readonly number[];
  readonly decodeMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
  /** Measured time of one hop to this stage, beyond compute and queue. */
  readonly linkMilliseconds: number;
  /** Age of the load report behind these figures; Infinity before the first. */
  readonly reportAgeMilliseconds: number;
  readonly cachedPrefixes: ReadonlySet<string>;
}

/** A cell as its owner sees it. */
export interface CellView {
  readonly cell: string;
  readonly model: string;
  readonly version: string;
  readonly layerCount: number;
  readonly stages: readonly StageView[];
}

/** The work to be placed. Times are relative, so that no clock is shared. */
export interface WorkEstimate {
  readonly requestId: string;
  readonly classOfWork: string;
  readonly clientAccount: string;
  readonly adapter: string | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixKey: string | undefined;
  /** Prompt tokens that `prefixKey` covers; none are taken as cached if absent. */
  readonly prefixTokens?: number;
  /** The version that began the reply; any that is served if absent, the configured one rather. */
  readonly version?: string;
  /** Milliseconds left to the first token's target. */
  readonly firstTokenWithin: number;
  readonly betweenTokensTarget: number;
  /** Milliseconds left to the deadline. */
  readonly deadlineWithin: number;
  /** Lower numbers run first at engines. */
  readonly priority: number;
  /** Whether the work was admitted before and lost its stages: then only its deadline can refuse it. */
  readonly inProgress?: boolean;
}

/** One stage of a chosen pipeline. */
export interface ChosenStage {
  readonly upstream: string;
  readonly address: string;
  readonly layers: LayerRange;
  /** Whether the engine refuses steps of older epochs; undefined counts as no. */
  readonly checksFencing?: boolean;
  /** The version of the model that the engine holds; undefined counts as the configured one. */
  readonly version?: string;
  /** Whether the owner waits for its first answer before it gives it more; undefined counts as no. */
  readonly probing?: boolean;
}

/** What the decision expects of the chosen pipeline. */
export interface Prediction {
  readonly startsInMilliseconds: number;
  readonly firstTokenMilliseconds: number;
  readonly betweenTokensMilliseconds: number;
  readonly wholeMilliseconds: number;
  /** Age of the oldest figure used. */
  readonly figuresAgeMilliseconds: number;
}

/** The outcome of one routing decision. */
export type RoutingDecision =
  | {
      readonly kind: 'admit';
      readonly stages: readonly ChosenStage[];
      readonly prediction: Prediction;
      readonly candidates: number;
      readonly reason: string;
    }
  | {
      readonly kind: 'refuse';
      readonly reason: 'cannotMeetTarget' | 'overShare' | 'noUpstream';
      readonly retryAfterMilliseconds: number;
      readonly candidates: number;
    };

/** A reservation made by a cell's owner. */
export interface Reservation {
  readonly reservationId: string;
  readonly cell: string;
  readonly stages: readonly ChosenStage[];
  readonly prediction: Prediction;
  /** How many pipelines the decision weighed; undefined when not told. */
  readonly candidates?: number;
  /** Why the decision chose these stages; undefined when not told. */
  readonly reason?: string;
}

/** What the owner, or the requester itself, answers to a request for capacity. */
export type ReservationReply =
  | {readonly kind: 'reserved'; readonly reservation: Reservation}
  | {
      readonly kind: 'refused';
      readonly reason: 'cannotMeetTarget' | 'overShare' | 'noUpstream';
      readonly retryAfterMilliseconds: number;
    };

/** What a dispatcher saw of one stage; feeds health, limits and estimates at the owner. */
export interface StageObservation {
  readonly upstream: string;
  readonly outcome: 'completed' | 'failed' | 'refused' | 'silent' | 'cancelled';
  /** Mean compute milliseconds of a decode step here; undefined if none was seen. */
  readonly decodeMilliseconds: number | undefined;
  /** Mean time of a hop beyond compute and queue. */
  readonly linkMilliseconds: number | undefined;
  readonly steps: number;
}

/** Obtains, replaces and returns capacity; local and remote cells look alike. */
export abstract class CapacityBroker {
  /** Chooses a pipeline for the work, or refuses with a time to come back. */
  abstract reserve(
    work: WorkEstimate,
    model: string,
    token: AbortSignal,
  ): Promise<ReservationReply>;

  /** Chooses other stages for work in progress after some failed; excluded upstreams are not used again. */
  abstract replan(
    reservation: Reservation,
    work: WorkEstimate,
    model: string,
    excluded: readonly string[],
    token: AbortSignal,
  ): Promise<ReservationReply>;

  /** Returns the capacity and what was seen. */
  abstract release(
    reservation: Reservation,
    observations: readonly StageObservation[],
  ): void;

  /** Reports a failure, or the first answer of a probing stage, at once, before the release. */
  abstract reportFailure(
    reservation: Reservation,
    observation: StageObservation,
  ): void;

  /** Where to send a call to a plain service: address and upstream id, or a refusal. */
  abstract chooseService(
    service: string,
    excluded: readonly string[],
  ): ServiceChoice;

  /** Returns a plain service's slot. */
  abstract releaseService(
    upstream: string,
    outcome: 'completed' | 'failed' | 'refused',
    milliseconds: number,
  ): void;
}

/** A chosen replica of a plain service, or why there is none. */
export type ServiceChoice =
  | {
      readonly kind: 'chosen';
      readonly upstream: string;
      readonly address: string;
      readonly candidates: number;
    }
  | {readonly kind: 'none'; readonly retryAfterMilliseconds: number};

/** How much of a class's capacity each client account has used lately at one owner. */
export interface ShareView {
  /** Slot-milliseconds used, decayed over time, by `class/account`. */
  readonly usedByAccount: ReadonlyMap<string, number>;
  /** Slot-milliseconds used, decayed over time, by class. */
  readonly usedByClass: ReadonlyMap<string, number>;
  /** Slot-milliseconds that accounts asked for, granted or not, decayed over time, by `class/account`. */
  readonly wantedByAccount: ReadonlyMap<string, number>;
  /** Requests a second wanted by class, from the configuration. */
  readonly targetByClass: ReadonlyMap<string, number>;
  /** Mean slot-milliseconds of one request by class; alike for all classes if absent. */
  readonly workByClass?: ReadonlyMap<string, number>;
  /** Targets in milliseconds by class; only the work's own are known if absent. */
  readonly timesByClass?: ReadonlyMap<string, ClassTimes>;
}

/** Targets of a class in milliseconds. */
export interface ClassTimes {
  readonly firstToken: number;
  readonly betweenTokens: number;
}

/** Decides on one piece of work over one cell; pure. */
export abstract class RoutingPolicy {
  abstract readonly name: string;

  /** Chooses one stage for each layer range, or refuses. `now` is the owner's monotonic time. */
  abstract decide(
    view: CellView,
    shares: ShareView,
    work: WorkEstimate,
    now: number,
  ): RoutingDecision;
}
