import {Executed} from '../../src/features/requests/common/failure.js';
import {EngineLedgerEntry, EngineSettings} from '../standins/engineSettings.js';
import {LedgerStamp} from '../standins/ledger.js';
import {ServiceLedgerEntry} from '../standins/serviceStandIn.js';

/** What callers, operators and ledgers saw in a run; times are wall milliseconds of one machine. */

/** Something a caller wants done once; its business key is part of the prompt or body. */
export interface Work {
  readonly round: number;
  readonly businessKey: string;
  readonly kind: 'model' | 'service';
  readonly repeatable: boolean;
  readonly stream: boolean;
  /** The prompt, or the body of a service call. */
  readonly content: string;
  readonly maximumOutputTokens: number;
}

/** What came back from one call. */
export interface Answer {
  readonly requestId: string | undefined;
  /** 0 when none came. */
  readonly status: number;
  /** Whether it ended as a whole answer, as a stated failure, or not at all. */
  readonly end: 'whole' | 'failure' | 'cut' | 'unreachable';
  /** The text of the reply, also of one that was cut; the body of a service call. */
  readonly text: string;
  readonly executed: Executed | undefined;
  readonly errorKind: string | undefined;
  readonly addresses: readonly string[];
  readonly retryAfterMilliseconds: number | undefined;
}

/** One call with its answer. */
export interface Submission {
  readonly work: Work;
  readonly kind: 'work' | 'lookUp';
  readonly idempotencyKey: string | undefined;
  readonly address: string;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly answer: Answer;
}

/** An upstream between the notice that it leaves and its return. */
export interface LeavingWindow {
  readonly upstream: string;
  readonly from: number;
  readonly to: number;
  readonly lagMilliseconds: number;
}

/** A planned stop, and the work that was still not done when its callers gave up. */
export interface PlannedStop {
  readonly round: number;
  readonly instance: string;
  readonly exitCode: number | undefined;
  readonly failedWork: readonly string[];
}

/** A change that an operator was told is accepted: an account of this name. */
export interface AcceptedChange {
  readonly name: string;
  readonly revision: number;
}

/** One instance's configuration at a time. */
export interface ConfigurationSample {
  readonly instance: string;
  /** Process id of the control program. */
  readonly pid: number;
  readonly at: number;
  readonly revision: number;
  /** Identifies the whole content. */
  readonly digest: string;
  readonly names: ReadonlySet<string>;
}

/** What operators saw; `settled` are the samples after the bound since faults were cleared. */
export interface ConfigurationEvidence {
  readonly accepted: readonly AcceptedChange[];
  readonly samples: readonly ConfigurationSample[];
  readonly settled: readonly ConfigurationSample[];
}

/** A step in an engine's ledger. */
export type EngineStep = Extract<
  EngineLedgerEntry,
  {readonly kind: 'begun' | 'completed'}
> &
  LedgerStamp;

/** An execution in a plain service's ledger. */
export type ServiceExecution = ServiceLedgerEntry & LedgerStamp;

/** The points that must always hold. */
export const points = [
  'layersOnceInOrder',
  'wholeOwnReply',
  'notRunMeansNotRun',
  'atMostOnce',
  'leavingGetsNothing',
  'plannedStopCutsNothing',
  'configurationInForce',
] as const;

/** One of the points. */
export type Point = (typeof points)[number];

/** Evidence that a point does not hold. */
export interface Violation {
  readonly point: Point;
  /** The work, request, upstream or instance concerned. */
  readonly subject: string;
  readonly detail: string;
}

/** Whether an engine's ledger entry is a step. */
export function isStep(
  entry: EngineLedgerEntry & LedgerStamp,
): entry is EngineStep {
  return entry.kind === 'begun' || entry.kind === 'completed';
}

/** Number of layers over engines that hold ranges. */
export function layerCountOf(
  engines: ReadonlyArray<Pick<EngineSettings, 'layers'>>,
): number {
  return Math.max(...engines.map(engine => engine.layers.to));
}
