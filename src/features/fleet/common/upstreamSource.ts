import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {Upstream} from './upstream.js';

/** A list of upstreams and the entries of it that could not be read. */
export interface UpstreamListing {
  readonly upstreams: readonly Upstream[];
  /** A sentence for each malformed entry, naming the entry and the field. */
  readonly findings: readonly string[];
}

/** The platform's list of upstreams, as a port. */
export abstract class UpstreamSource {
  /** Fails with a sentence. */
  abstract list(
    token: CancellationToken,
  ): Promise<Result<UpstreamListing, string>>;
}
