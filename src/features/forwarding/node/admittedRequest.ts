import {Route} from '../../traffic/common/trafficConfiguration.js';
import {RequestMetadata} from '../common/headerCodec.js';

/** An admitted request with everything that determines how it is forwarded. */
export interface AdmittedRequest {
  readonly id: string;
  readonly facts: RequestMetadata;
  readonly route: Route;
  readonly service: string;
  readonly account: string | undefined;
  readonly priority: number;
  readonly body: Uint8Array;
  /** Monotonic time in milliseconds at which the caller's or the route's time limit ends. */
  readonly deadlineAt: number;
  /** When an upstream is to stop: earlier, if the request may have waited unread, since its caller waits no longer than it said. */
  readonly upstreamDeadlineAt: number;
  /** Version of the configuration that admitted the request. */
  readonly configurationVersion: number;
  /** Milliseconds between the last confirmation of that version and the admission. */
  readonly configurationAge: number;
}
