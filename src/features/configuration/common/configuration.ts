import {Finding} from '../../../base/common/finding.js';
import {Result} from '../../../base/common/result.js';

/** The configuration that operators define: class targets, accounts, models and services; no weights or addresses. */

/** A class of requests with common targets. */
export interface ClassOfWork {
  readonly name: string;
  /** Target for the 95th percentile of the time to the first token, or to the whole response of a plain service. */
  readonly firstTokenMilliseconds: number;
  /** Target for the 95th percentile of a request's mean time between tokens. */
  readonly betweenTokensMilliseconds: number;
  /** Maximum time to the whole response; requests that can't meet it are refused. */
  readonly deadlineMilliseconds: number;
  /** Target throughput, used by placement and to divide capacity between classes. */
  readonly requestsPerSecond: number;
  /** Whether requests of this class are idempotent and may be executed again. */
  readonly repeatable: boolean;
}

/** A client account; only the SHA-256 hash of its bearer key is stored. */
export interface ClientAccount {
  readonly name: string;
  /** Hex SHA-256 of the bearer key. */
  readonly keyHash: string;
}

/** A model that the system serves. */
export interface Model {
  readonly name: string;
  readonly version: string;
  readonly layerCount: number;
  readonly adapters: readonly string[];
}

/** One kind of call to a plain service. */
export interface ServiceCall {
  readonly method: string;
  /** Matches paths that start with this prefix. */
  readonly pathPrefix: string;
  /** Whether the call is idempotent and may be executed again. */
  readonly repeatable: boolean;
}

/** A plain service; calls that match no entry are treated as not repeatable. */
export interface PlainService {
  readonly name: string;
  readonly calls: readonly ServiceCall[];
}

/** The whole configuration at an accepted revision, with entries by name. */
export interface Configuration {
  readonly revision: number;
  readonly classes: Readonly<Record<string, ClassOfWork>>;
  readonly clientAccounts: Readonly<Record<string, ClientAccount>>;
  readonly models: Readonly<Record<string, Model>>;
  readonly services: Readonly<Record<string, PlainService>>;
}

/** The configuration before the first change. */
export const emptyConfiguration: Configuration = {
  revision: 0,
  classes: {},
  clientAccounts: {},
  models: {},
  services: {},
};

/** A change to one entry of the configuration; the operations of a revision are applied atomically. */
export type ConfigurationOperation =
  | {readonly kind: 'setClass'; readonly value: ClassOfWork}
  | {readonly kind: 'removeClass'; readonly name: string}
  | {readonly kind: 'setClientAccount'; readonly value: ClientAccount}
  | {readonly kind: 'removeClientAccount'; readonly name: string}
  | {readonly kind: 'setModel'; readonly value: Model}
  | {readonly kind: 'removeModel'; readonly name: string}
  | {readonly kind: 'setService'; readonly value: PlainService}
  | {readonly kind: 'removeService'; readonly name: string};

/** A committed change of the configuration. */
export interface ConfigurationRevision {
  readonly revision: number;
  readonly operations: readonly ConfigurationOperation[];
  readonly operator: string;
  /** Identifies the proposal, so that the outcome of a commit without response can be read back. */
  readonly nonce: string;
  readonly committedAtWallMilliseconds: number;
}

/** Why a proposed change was not accepted. */
export type ProposalError =
  | {readonly kind: 'invalid'; readonly findings: readonly Finding[]}
  | {
      readonly kind: 'conflict';
      readonly winningRevision: number;
      readonly operator: string;
    }
  /** The table refused the change or is unreachable; the change is not accepted. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The outcome could not be read back from the table in time; the change may or may not have been accepted. */
  | {readonly kind: 'outcomeUnknown'; readonly nonce: string};

/** The committed revision, or why the proposal was not accepted. */
export type ProposalResult = Result<ConfigurationRevision, ProposalError>;
