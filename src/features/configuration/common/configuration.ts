import {Finding} from '../../../base/common/finding.js';
import {Result} from '../../../base/common/result.js';

/** The configuration that operators state: targets per class, accounts, models and services. No weights, no addresses. */

/** A class of work and its targets. */
export interface ClassOfWork {
  readonly name: string;
  /** Time to the first token (or to the whole answer of a plain service), for 95 in 100. */
  readonly firstTokenMilliseconds: number;
  /** Mean time between tokens, for 95 in 100. */
  readonly betweenTokensMilliseconds: number;
  /** Time to the whole reply; work that can't meet it is refused. */
  readonly deadlineMilliseconds: number;
  /** Throughput wanted, used by placement and to divide capacity between classes. */
  readonly requestsPerSecond: number;
  /** Whether work of this class may be run again (idempotent). */
  readonly repeatable: boolean;
}

/** A client account; its bearer key is kept as a SHA-256 hash. */
export interface ClientAccount {
  readonly name: string;
  /** Hex SHA-256 of the bearer key. */
  readonly keyHash: string;
}

/** A model in use. */
export interface Model {
  readonly name: string;
  readonly version: string;
  readonly layerCount: number;
  readonly adapters: readonly string[];
}

/** One kind of call to a plain service. */
export interface ServiceCall {
  readonly method: string;
  /** The call matches paths that start with this. */
  readonly pathPrefix: string;
  /** Whether the call may be run again (idempotent). */
  readonly repeatable: boolean;
}

/** A plain service; calls that match nothing count as not repeatable. */
export interface PlainService {
  readonly name: string;
  readonly calls: readonly ServiceCall[];
}

/** One accepted revision of the whole configuration; keyed by name, read-only. */
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

/** One change to the configuration; a revision carries a list of them, applied together. */
export type ConfigurationOperation =
  | {readonly kind: 'setClass'; readonly value: ClassOfWork}
  | {readonly kind: 'removeClass'; readonly name: string}
  | {readonly kind: 'setClientAccount'; readonly value: ClientAccount}
  | {readonly kind: 'removeClientAccount'; readonly name: string}
  | {readonly kind: 'setModel'; readonly value: Model}
  | {readonly kind: 'removeModel'; readonly name: string}
  | {readonly kind: 'setService'; readonly value: PlainService}
  | {readonly kind: 'removeService'; readonly name: string};

/** A committed change: its number, what it does, and who proposed it. */
export interface ConfigurationRevision {
  readonly revision: number;
  readonly operations: readonly ConfigurationOperation[];
  readonly operator: string;
  /** Identifies the proposal, so that a lost answer can be resolved by reading back. */
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
  /** The table refused or can't be reached: the change is not accepted. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The table could not be read back in time: the change may or may not have been accepted. */
  | {readonly kind: 'outcomeUnknown'; readonly nonce: string};

/** What a proposal came to. */
export type ProposalResult = Result<ConfigurationRevision, ProposalError>;
