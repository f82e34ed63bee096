import {ExecutionStatus} from '../../src/features/requests/common/failure.js';
import {EngineLedgerEntry, EngineSettings} from '../standins/engineSettings.js';
import {LedgerStamp} from '../standins/ledger.js';
import {ServiceLedgerEntry} from '../standins/serviceStandIn.js';

/** What callers and operators observed and what the ledgers recorded; times are wall-clock milliseconds of one machine. */

/** Work that a caller wants done once; its business key is part of the prompt or body. */
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

/** The response to one call, as the caller received it. */
export interface RecordedResponse {
  readonly requestId: string | undefined;
  /** HTTP status; 0 when no response was received. */
  readonly status: number;
  /** Complete response, stated failure, response cut off before its end, or no connection. */
  readonly end: 'whole' | 'failure' | 'cut' | 'unreachable';
  /** The text of the reply, also of an incomplete one; the body of the response to a service call. */
  readonly text: string;
  readonly executed: ExecutionStatus | undefined;
  readonly errorKind: string | undefined;
  readonly addresses: readonly string[];
  readonly retryAfterMilliseconds: number | undefined;
}

/** One call with its response; a lookup counts as a call. */
export interface Submission {
  readonly work: Work;
  readonly kind: 'work' | 'lookUp';
  readonly idempotencyKey: string | undefined;
  readonly address: string;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly response: RecordedResponse;
}

/** The time between the notice that an upstream leaves and its return to service. */
export interface LeavingWindow {
  readonly upstream: string;
  readonly from: number;
  readonly to: number;
  readonly lagMilliseconds: number;
}

/** A planned stop, and the work whose callers gave up before it was completed. */
export interface PlannedStop {
  readonly round: number;
  readonly instance: string;
  readonly exitCode: number | undefined;
  readonly failedWork: readonly string[];
}

/** A change that the control API reported as accepted: the account that it adds. */
export interface AcceptedChange {
  readonly name: string;
  readonly revision: number;
}

/** The configuration of one instance at one time. */
export interface ConfigurationSample {
  readonly instance: string;
  /** Process id of the control program. */
  readonly pid: number;
  readonly at: number;
  readonly revision: number;
  /** Hash of the whole configuration. */
  readonly digest: string;
  readonly names: ReadonlySet<string>;
}

/** Accepted changes and samples of a run; `finalSamples` are taken when the time to converge has passed. */
export interface ConfigurationEvidence {
  readonly accepted: readonly AcceptedChange[];
  readonly samples: readonly ConfigurationSample[];
  readonly finalSamples: readonly ConfigurationSample[];
}

/** A step in an engine's ledger. */
export type EngineStep = Extract<
  EngineLedgerEntry,
  {readonly kind: 'begun' | 'completed'}
> &
  LedgerStamp;

/** An execution in a plain service's ledger. */
export type ServiceExecution = ServiceLedgerEntry & LedgerStamp;

/** Names of the invariants that the checks verify. */
export const invariants = [
  'layersOnceInOrder',
  'wholeOwnReply',
  'notRunMeansNotRun',
  'atMostOnce',
  'leavingGetsNothing',
  'plannedStopCutsNothing',
  'configurationInForce',
] as const;

export type Invariant = (typeof invariants)[number];

/** Evidence that an invariant does not hold. */
export interface Violation {
  readonly invariant: Invariant;
  /** The affected work, request, upstream or instance. */
  readonly subject: string;
  readonly detail: string;
}

/** Whether a ledger entry of an engine is the begin or the completion of a step. */
export function isStep(
  entry: EngineLedgerEntry & LedgerStamp,
): entry is EngineStep {
  return entry.kind === 'begun' || entry.kind === 'completed';
}

/** Number of layers of the model, from the layer ranges of its engines. */
export function layerCountOf(
  engines: ReadonlyArray<Pick<EngineSettings, 'layers'>>,
): number {
  return Math.max(...engines.map(engine => engine.layers.to));
}
