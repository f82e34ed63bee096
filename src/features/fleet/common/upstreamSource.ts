import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {Upstream} from './upstream.js';

/** A malformed entry of the platform's list. */
export interface UpstreamFinding {
  /** Name of the entry. */
  readonly name: string;
  /** The invalid field; `$` for the whole entry. */
  readonly field: string;
  readonly detail: string;
}

/** The upstreams of a list, and its malformed entries. */
export interface UpstreamListing {
  readonly upstreams: readonly Upstream[];
  readonly findings: readonly UpstreamFinding[];
}

/** Port for the platform's list of upstreams. */
export abstract class UpstreamSource {
  /** The error is a message for log lines. */
  abstract list(
    token: CancellationToken,
  ): Promise<Result<UpstreamListing, string>>;
}
