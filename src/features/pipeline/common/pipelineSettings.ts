/** Limits and intervals of the pipeline driver; times in milliseconds. */

/** How long a stage may take to respond to a step. */
export interface StepTimeoutSettings {
  /** Minimum time-out of a decode step. */
  readonly decodeFloorMilliseconds: number;
  /** Minimum time-out of a prefill. */
  readonly prefillFloorMilliseconds: number;
  /** Time-out of a decode step as a multiple of the class's target between tokens. */
  readonly targetMultiple: number;
  /** Time-out of a prefill as a multiple of its expected duration. */
  readonly prefillMultiple: number;
  /** Number of mean deviations that the time-out lies above the mean observed step time. */
  readonly deviations: number;
  /** Maximum number of upstreams whose step times are kept. */
  readonly trackedUpstreams: number;
}

/** When KV caches are exported during generation. */
export interface ExportSettings {
  /** Number of released tokens between two exports. */
  readonly everyTokens: number;
  /** Shorter contexts are not exported, since rebuilding them is cheaper. */
  readonly minimumContextTokens: number;
  /** With fewer expected tokens left, an export is unlikely to be used. */
  readonly minimumRemainingTokens: number;
}

/** All settings of the driver. */
export interface PipelineSettings {
  readonly watch: StepTimeoutSettings;
  readonly exports: ExportSettings;
  /** Number of recoveries after which a request fails. */
  readonly recoveryLimit: number;
  /** Number of engines that may have ended under a request after which it fails. */
  readonly endedEngineLimit: number;
  /** Time-out of one cancel call. */
  readonly cancelMilliseconds: number;
  /** Delay before the first retry of a cancel call; it doubles with each retry. */
  readonly cancelRetryMilliseconds: number;
  /** Maximum number of retries of a cancel call while the engine is not idle. */
  readonly cancelRetries: number;
  /** How long a failure response waits for the cancel reports that decide its `executed` value. */
  readonly settleMilliseconds: number;
  /** Time-out of one import of a KV cache. */
  readonly importMilliseconds: number;
  /** Time-out of one export of a KV cache. */
  readonly exportMilliseconds: number;
  /** The driver does not wait for a start that is predicted to be nearer than this. */
  readonly startLeadMilliseconds: number;
  /** Fraction of the predicted wait by which the request is dispatched early. */
  readonly startLeadShare: number;
  /** Retry-after time of a failure that does not bring its own. */
  readonly retryMilliseconds: number;
}

/** Production settings; tests override some. */
export const defaultPipelineSettings: PipelineSettings = {
  watch: {
    decodeFloorMilliseconds: 500,
    prefillFloorMilliseconds: 1500,
    targetMultiple: 6,
    prefillMultiple: 3,
    deviations: 10,
    trackedUpstreams: 4096,
  },
  exports: {
    everyTokens: 32,
    minimumContextTokens: 256,
    minimumRemainingTokens: 32,
  },
  recoveryLimit: 8,
  endedEngineLimit: 3,
  cancelMilliseconds: 1000,
  cancelRetryMilliseconds: 500,
  cancelRetries: 6,
  settleMilliseconds: 100,
  importMilliseconds: 1500,
  exportMilliseconds: 2000,
  startLeadMilliseconds: 20,
  startLeadShare: 0.25,
  retryMilliseconds: 1000,
};
