import {
  LayerRange,
  PositionRange,
} from '../../src/infrastructure/engine/common/engineConnection.js';

/** Settings of one engine; times in milliseconds, addresses are `IP:port`. */
export interface EngineSettings {
  readonly id: string;
  readonly address: string;
  readonly acceleratorKind: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly layers: LayerRange;
  readonly role: 'both' | 'prefill' | 'decode';
  readonly checksFencing: boolean;
  /** Maximum number of resident sequences; further ones wait. */
  readonly sequenceLimit: number;
  /** Compute time of one decode step. */
  readonly decodeMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
  /** One-way delay from the caller. */
  readonly callerLinkMilliseconds: number;
  /** One-way delay from other engines, by upstream id. */
  readonly linkMilliseconds: Readonly<Record<string, number>>;
  /** One-way delay from engines that are not listed. */
  readonly defaultLinkMilliseconds: number;
  /** Interval between load reports; 0 creates a report for each request. */
  readonly reportLagMilliseconds: number;
  /** Time to load different layers or another model or version. */
  readonly loadMilliseconds: number;
  /** Idle time after which a sequence loses its slot. */
  readonly idleMilliseconds: number;
  /** File for the ledger; `{id}` is replaced by the engine's id. */
  readonly ledgerFile?: string;
}

/** Settings of a program that hosts engines, one port each. */
export interface EngineStandInSettings {
  readonly faultAddress: string;
  /** Whether the program exits when an engine dies. */
  readonly exitOnDeath?: boolean;
  /** Engines; omitted settings take the values of `defaultEngineSettings`. */
  readonly engines: ReadonlyArray<
    Partial<EngineSettings> & Pick<EngineSettings, 'id' | 'address' | 'layers'>
  >;
}

/** Defaults of engine settings. */
export const defaultEngineSettings: Omit<
  EngineSettings,
  'id' | 'address' | 'layers'
> = {
  acceleratorKind: 'standard',
  model: 'assistant',
  version: '1',
  adapters: [],
  role: 'both',
  checksFencing: true,
  sequenceLimit: 8,
  decodeMilliseconds: 5,
  prefillMillisecondsPerToken: 0.2,
  callerLinkMilliseconds: 0,
  linkMilliseconds: {},
  defaultLinkMilliseconds: 0,
  reportLagMilliseconds: 200,
  loadMilliseconds: 500,
  idleMilliseconds: 30_000,
};

/** The point in a step at which an engine dies. */
export type DeathPoint = 'begun' | 'computed' | 'answered';

/** A fault of a whole engine, or of single steps. */
export type EngineFault =
  /** Dies in the n-th step from now, at `point`. */
  | {
      readonly kind: 'dieAfterSteps';
      readonly steps: number;
      readonly point: DeathPoint;
    }
  | {readonly kind: 'die'}
  /** Restarts like a new process: empty, with a new incarnation. */
  | {readonly kind: 'revive'}
  /** Accepts requests but does not process them until cleared. */
  | {readonly kind: 'freeze'}
  /** Multiplies the compute time by `factor` until cleared. */
  | {readonly kind: 'slow'; readonly factor: number}
  /** One-way delay from the upstream `from`, from the caller when omitted, or on all links when `*`. */
  | {
      readonly kind: 'link';
      readonly from?: string;
      readonly milliseconds: number;
    }
  /** Discards all KV caches and prefixes. */
  | {readonly kind: 'loseCaches'}
  | {readonly kind: 'leaving'; readonly leaving: boolean}
  | {readonly kind: 'clear'}
  | StepFault;

/** A fault of single steps or imports; applies to as many of them as the command's `times` says. */
export type StepFault =
  /** Closes the connection before execution. */
  | {readonly kind: 'requestLost'}
  /** Executes, then closes the connection. */
  | {readonly kind: 'answerLost'}
  /** Executes, then delays the response. */
  | {readonly kind: 'late'; readonly milliseconds: number}
  /** Executes, then responds with the receipt of another request: the previous one, if any. */
  | {readonly kind: 'crossed'}
  /** Executes and responds, and sends the response again in place of the connection's next one. */
  | {readonly kind: 'twice'}
  | {readonly kind: 'refuse'}
  | {readonly kind: 'overload'; readonly retryAfterMilliseconds: number}
  /** Refuses an import of a KV cache because its epoch is stale. */
  | {readonly kind: 'importStale'}
  /** Refuses an import of a KV cache because the export is absent. */
  | {readonly kind: 'importAbsent'};

/** Body of `POST /fault`. */
export interface EngineFaultCommand {
  readonly fault: EngineFault;
  /** Id of the engine; all engines of the program when omitted. */
  readonly engine?: string;
  /** Limits the fault to this request. */
  readonly request?: string;
  readonly times?: number;
}

/** A ledger entry of an engine. */
export type EngineLedgerEntry = {
  readonly upstream: string;
  readonly incarnation: string;
} & (
  | {
      readonly kind: 'begun' | 'completed';
      readonly requestId: string;
      readonly epoch: number;
      readonly layers: LayerRange;
      readonly positions: PositionRange;
      readonly rebuild: boolean;
      readonly version: string;
      /** Wall-clock milliseconds at which a begun step reached the engine; it may have been queued since. */
      readonly receivedAt?: number;
      /** The business key, from the word `[key:…]` among the step's tokens; first stages only. */
      readonly key?: string;
      /** The generated token; completed steps of a last stage only. */
      readonly token?: string;
    }
  | {
      readonly kind: 'cancelled' | 'imported';
      readonly requestId: string;
      readonly epoch: number;
    }
  | {
      readonly kind: 'ordered';
      readonly fencing: number;
      readonly order: number;
      readonly model: string;
      readonly version: string;
      readonly layers: LayerRange;
      readonly role: string;
    }
);
