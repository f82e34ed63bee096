import {LayerRange} from '../../../infrastructure/engine/common/engineConnection.js';

/**
 * Routing over cells. A cell is a bounded group of replicas of one model in one data centre. One entry
 * instance, chosen by rendezvous hashing, owns a cell: it tracks the outstanding work there and decides
 * on new work. Ownership is soft: no invariant depends on it, and two owners or none only make
 * estimates worse.
 */

/** Health of an upstream as the router sees it. */
export type UpstreamHealth = 'healthy' | 'probing' | 'quarantined';

/** State of one engine at the cell's owner. Points in time are monotonic milliseconds of the owner. */
export interface StageView {
  readonly upstream: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly replica: string;
  readonly acceleratorKind: string;
  readonly layers: LayerRange;
  readonly health: UpstreamHealth;
  readonly leaving: boolean;
  /** Sequences that may be resident at once: the engine's limit, reduced by the adaptive limit and the ramp-up. */
  readonly sequenceLimit: number;
  /** Expected finish times of the resident and queued sequences, ascending. */
  readonly expectedFinishTimes: readonly number[];
  readonly decodeMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
  /** Measured time of one hop to this stage, excluding compute and queueing. */
  readonly linkMilliseconds: number;
  /** Age of the load report that this state is based on; Infinity before the first report. */
  readonly reportAgeMilliseconds: number;
  readonly cachedPrefixes: ReadonlySet<string>;
}

/** State of a cell at its owner, for one model and version. */
export interface CellView {
  readonly cell: string;
  readonly model: string;
  readonly version: string;
  readonly layerCount: number;
  readonly stages: readonly StageView[];
}

/** Estimate of the work to be placed. Times are relative, because processes share no clock. */
export interface WorkEstimate {
  readonly requestId: string;
  readonly classOfWork: string;
  readonly clientAccount: string;
  readonly adapter: string | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixKey: string | undefined;
  /** Prompt tokens that `prefixKey` covers; if absent, none are assumed to be cached. */
  readonly prefixTokens?: number;
  /** Model version that began the reply; if absent, any version may serve it, preferably the configured one. */
  readonly version?: string;
  /** Milliseconds left until the next token is due, at first the first-token target. */
  readonly firstTokenWithinMilliseconds: number;
  readonly betweenTokensTargetMilliseconds: number;
  /** Milliseconds left until the deadline. */
  readonly deadlineWithinMilliseconds: number;
  /** Engines run lower numbers first. */
  readonly priority: number;
  /** Whether the work was admitted before and lost its stages; it is then refused only if its deadline can't be met. */
  readonly inProgress?: boolean;
}

/** One stage of a chosen pipeline. */
export interface ChosenStage {
  readonly upstream: string;
  readonly address: string;
  readonly layers: LayerRange;
  /** Whether the engine rejects steps of older epochs; undefined means no. */
  readonly checksFencing?: boolean;
  /** Model version that the engine holds; undefined means the configured one. */
  readonly version?: string;
  /** Whether the engine is being probed and gets no other work until its first response; undefined means no. */
  readonly probing?: boolean;
}

/** Predicted times of a pipeline. */
export interface Prediction {
  readonly startsInMilliseconds: number;
  readonly firstTokenMilliseconds: number;
  readonly betweenTokensMilliseconds: number;
  readonly wholeMilliseconds: number;
  /** Age of the oldest load report used. */
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
      /** The pipeline that came closest to the targets; undefined if none was predicted. */
      readonly nearest?: NearestPipeline;
    };

/** A pipeline that missed a target, with the figures of its prediction, for the log. */
export interface NearestPipeline {
  readonly prediction: Prediction;
  readonly stages: ReadonlyArray<{
    readonly upstream: string;
    readonly sequenceLimit: number;
    /** Sequences that were expected to be resident. */
    readonly sequences: number;
    readonly decodeMilliseconds: number;
    readonly linkMilliseconds: number;
  }>;
}

/** A reservation made by a cell's owner. */
export interface Reservation {
  readonly reservationId: string;
  readonly cell: string;
  readonly stages: readonly ChosenStage[];
  readonly prediction: Prediction;
  /** Number of pipelines compared; undefined if not reported. */
  readonly candidates?: number;
  /** Why these stages were chosen; undefined if not reported. */
  readonly reason?: string;
}

/** Response to a request for capacity, from the owner or from a decision of the requester itself. */
export type ReservationReply =
  | {readonly kind: 'reserved'; readonly reservation: Reservation}
  | {
      readonly kind: 'refused';
      readonly reason: 'cannotMeetTarget' | 'overShare' | 'noUpstream';
      readonly retryAfterMilliseconds: number;
    };

/** A dispatcher's observation of one stage. The owner derives health, limits and estimates from it. */
export interface StageObservation {
  readonly upstream: string;
  readonly outcome: 'completed' | 'failed' | 'refused' | 'silent' | 'cancelled';
  /** Mean compute time of a decode step; undefined if there was none. */
  readonly decodeMilliseconds: number | undefined;
  /** Mean time of a hop, excluding compute and queueing; undefined if there was none. */
  readonly linkMilliseconds: number | undefined;
  readonly steps: number;
}

/** Reserves, replaces and releases capacity in local and remote cells. */
export abstract class CapacityBroker {
  /** Reserves a pipeline for the work, or refuses with a retry delay. */
  abstract reserve(
    work: WorkEstimate,
    model: string,
    signal: AbortSignal,
  ): Promise<ReservationReply>;

  /** Reserves other stages for work in progress after some failed. `excluded` upstreams are not used. */
  abstract replan(
    reservation: Reservation,
    work: WorkEstimate,
    model: string,
    excluded: readonly string[],
    signal: AbortSignal,
  ): Promise<ReservationReply>;

  /** Releases a reservation and reports what was observed. */
  abstract release(
    reservation: Reservation,
    observations: readonly StageObservation[],
  ): void;

  /** Reports a failure, or the first response of a probed stage, without waiting for the release. */
  abstract reportFailure(
    reservation: Reservation,
    observation: StageObservation,
  ): void;

  /** Takes a slot at a replica of a plain service, or refuses with a retry delay. */
  abstract chooseService(
    service: string,
    excluded: readonly string[],
  ): ServiceChoice;

  /** Releases a slot at a replica of a plain service. */
  abstract releaseService(
    upstream: string,
    outcome: 'completed' | 'failed' | 'refused',
    milliseconds: number,
  ): void;
}

/** A chosen replica of a plain service, or the retry delay if none is available. */
export type ServiceChoice =
  | {
      readonly kind: 'chosen';
      readonly upstream: string;
      readonly address: string;
      readonly candidates: number;
    }
  | {readonly kind: 'none'; readonly retryAfterMilliseconds: number};

/** Recent slot time by class and client account at one owner. */
export interface ShareView {
  /** Slot-milliseconds used by `class/account`, exponentially decayed. */
  readonly usedByAccount: ReadonlyMap<string, number>;
  /** Slot-milliseconds used by class, exponentially decayed. */
  readonly usedByClass: ReadonlyMap<string, number>;
  /** Slot-milliseconds requested by `class/account`, granted or not, exponentially decayed. */
  readonly demandByAccount: ReadonlyMap<string, number>;
  /** Configured target rate by class, in requests per second. */
  readonly targetRateByClass: ReadonlyMap<string, number>;
  /** Mean slot-milliseconds of one request by class; if absent, the same is assumed for all classes. */
  readonly workByClass?: ReadonlyMap<string, number>;
  /** Targets by class; if absent, only the targets of the work itself are known. */
  readonly timesByClass?: ReadonlyMap<string, ClassTargets>;
}

/** Latency targets of a class, in milliseconds. */
export interface ClassTargets {
  readonly firstToken: number;
  readonly betweenTokens: number;
}

/** Decides on one piece of work in one cell. A decision has no effect on the cell. */
export abstract class RoutingPolicy {
  abstract readonly name: string;

  /** Chooses stages that cover all layers, or refuses. `now` is the owner's monotonic time. */
  abstract decide(
    view: CellView,
    shares: ShareView,
    work: WorkEstimate,
    now: number,
  ): RoutingDecision;
}
