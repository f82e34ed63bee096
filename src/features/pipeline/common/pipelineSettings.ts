/** Bounds and intervals of the pipeline driver; times in milliseconds. */

/** When a stage counts as silent. */
export interface WatchSettings {
  /** No decode step is given up sooner. */
  readonly decodeFloorMilliseconds: number;
  /** No prefill is given up sooner. */
  readonly prefillFloorMilliseconds: number;
  /** Limit of a decode step as a multiple of the class's token target. */
  readonly targetMultiple: number;
  /** Limit of a prefill as a multiple of its expected time. */
  readonly prefillMultiple: number;
  /** Mean deviations above the mean observed step time. */
  readonly deviations: number;
  /** Upstreams whose step times are kept. */
  readonly trackedUpstreams: number;
}

/** When KV caches are exported while a reply is generated. */
export interface ExportSettings {
  /** Released tokens between two exports. */
  readonly everyTokens: number;
  /** A shorter context is rebuilt faster than it is worth exporting. */
  readonly minimumContextTokens: number;
  /** With fewer tokens expected an export is unlikely to be used. */
  readonly minimumRemainingTokens: number;
}

/** All settings of the driver. */
export interface PipelineSettings {
  readonly watch: WatchSettings;
  readonly exports: ExportSettings;
  /** Recoveries of one request before it fails. */
  readonly recoveryLimit: number;
  /** Bound of one cancel call. */
  readonly cancelMilliseconds: number;
  /** First pause before a cancel is repeated; it doubles each time. */
  readonly cancelRetryMilliseconds: number;
  /** How often a cancel is repeated at an engine that is not idle. */
  readonly cancelRetries: number;
  /** How long a failure waits for cancel reports that decide what it says. */
  readonly settleMilliseconds: number;
  /** Bound of one import of a KV cache. */
  readonly importMilliseconds: number;
  /** Bound of one export of a KV cache. */
  readonly exportMilliseconds: number;
  /** A predicted start nearer than this is not waited for. */
  readonly startLeadMilliseconds: number;
  /** Share of the predicted wait by which dispatch comes early. */
  readonly startLeadShare: number;
  /** Retry time of a failure that brings none of its own. */
  readonly retryMilliseconds: number;
}

/** The settings in use unless a test shortens them. */
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
