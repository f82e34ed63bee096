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
  /** Sequences resident at once; further ones wait. */
  readonly sequenceLimit: number;
  /** One decode step. */
  readonly decodeMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
  /** One way from the caller. */
  readonly callerLinkMilliseconds: number;
  /** One way from other engines, by upstream id. */
  readonly linkMilliseconds: Readonly<Record<string, number>>;
  /** One way from engines not listed. */
  readonly defaultLinkMilliseconds: number;
  /** Time between load reports; 0 reports the present. */
  readonly reportLagMilliseconds: number;
  /** Time to load other layers, another model or version. */
  readonly loadMilliseconds: number;
  /** A sequence without steps for so long gives up its slot. */
  readonly idleMilliseconds: number;
  /** Where executions are written; the `{id}` in it is replaced. */
  readonly ledgerFile?: string;
}

/** Settings of a program that hosts engines, one port each. */
export interface EngineStandInSettings {
  readonly faultAddress: string;
  /** Whether death of an engine ends the whole program. */
  readonly exitOnDeath?: boolean;
  /** Engines; what is left out has the default below. */
  readonly engines: ReadonlyArray<
    Partial<EngineSettings> & Pick<EngineSettings, 'id' | 'address' | 'layers'>
  >;
}

/** Values of engine settings that are left out. */
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

/** Where in a step an engine dies. */
export type DeathPoint = 'begun' | 'computed' | 'answered';

/** What goes wrong with an engine. */
export type EngineFault =
  /** Dies in the n-th step from now on; `point` says where in it. */
  | {
      readonly kind: 'dieAfterSteps';
      readonly steps: number;
      readonly point: DeathPoint;
    }
  | {readonly kind: 'die'}
  /** Comes back as a new process would: nothing kept, new incarnation. */
  | {readonly kind: 'revive'}
  /** Accepts calls and does nothing until cleared. */
  | {readonly kind: 'freeze'}
  /** Compute takes so many times as long, until cleared. */
  | {readonly kind: 'slow'; readonly factor: number}
  /** One-way time from an upstream, or from the caller when left out; all links for `*`. */
  | {
      readonly kind: 'link';
      readonly from?: string;
      readonly milliseconds: number;
    }
  /** Loses all KV caches. */
  | {readonly kind: 'loseCaches'}
  | {readonly kind: 'leaving'; readonly leaving: boolean}
  | {readonly kind: 'clear'}
  | StepFault;

/** What goes wrong with single steps; struck as often as the command's `times` says. */
export type StepFault =
  /** Cut before anything was done. */
  | {readonly kind: 'requestLost'}
  /** Done, then cut. */
  | {readonly kind: 'answerLost'}
  /** Done, answered late. */
  | {readonly kind: 'late'; readonly milliseconds: number}
  /** Done, answered with the receipt of another request, the one before if there is one. */
  | {readonly kind: 'crossed'}
  /** Done, and answered a second time in place of the connection's next answer. */
  | {readonly kind: 'twice'}
  | {readonly kind: 'refuse'}
  | {readonly kind: 'overload'; readonly retryAfterMilliseconds: number}
  /** Refuses the import of a KV cache as older than its request, or as gone. */
  | {readonly kind: 'importStale'}
  | {readonly kind: 'importAbsent'};

/** Body of `POST /fault`. */
export interface EngineFaultCommand {
  readonly fault: EngineFault;
  /** The engine by id; all of the program when left out. */
  readonly engine?: string;
  /** Strikes only this request. */
  readonly request?: string;
  readonly times?: number;
}

/** What an engine executed. */
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
      /** Wall milliseconds at which a begun step reached the engine; it may have waited there for long. */
      readonly receivedAt?: number;
      /** The business key: the word `[key:…]` among the step's tokens, at first stages. */
      readonly key?: string;
      /** The token made, for completed steps of a last stage. */
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
