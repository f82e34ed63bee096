import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {Upstream} from './upstream.js';

/** An entry that names no upstream to use. */
export interface UpstreamFinding {
  /** The name that the entry stands under. */
  readonly name: string;
  /** The field at fault; `$` for the whole entry. */
  readonly field: string;
  readonly detail: string;
}

/** A list of upstreams and the entries of it that could not be read. */
export interface UpstreamListing {
  readonly upstreams: readonly Upstream[];
  readonly findings: readonly UpstreamFinding[];
}

/** The platform's list of upstreams, as a port. */
export abstract class UpstreamSource {
  /** Fails with a sentence. */
  abstract list(
    token: CancellationToken,
  ): Promise<Result<UpstreamListing, string>>;
}
