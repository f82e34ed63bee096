import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {SuspicionTracker} from '../../fleet/common/suspicionTracker.js';
import {SlownessTracker} from '../../fleet/common/slownessTracker.js';
import {UpstreamControl} from '../../fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamRateLimiter} from '../../fleet/common/upstreamRateLimiter.js';
import {UpstreamLoadTracker} from '../../fleet/common/upstreamLoadTracker.js';
import {LinkLoad} from '../../paths/common/linkLoad.js';
import {PrefillBacklog} from '../../paths/common/prefillBacklog.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {ActiveConfiguration} from '../../traffic/common/activeConfiguration.js';
import {ForwardingSettings} from '../common/forwardingSettings.js';
import {OutcomeHistory} from '../common/outcomeHistory.js';
import {RetryBudget} from '../common/retryBudget.js';
import {UpstreamConnector} from '../common/upstreamExchange.js';
import {HeaderCodec} from '../common/headerCodec.js';
import {RequestMetrics} from './requestMetrics.js';
import {ResponseEndCheck} from './responseEndCheck.js';
import {UpstreamProber} from './upstreamProber.js';

/** The services that forwarding depends on; constructed by the program. */
export interface ForwardingServices {
  readonly settings: ForwardingSettings;
  readonly mechanisms: Mechanisms;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: RequestMetrics;
  readonly headerCodec: HeaderCodec;
  readonly connector: UpstreamConnector;
  readonly control: UpstreamControl;
  readonly configuration: ActiveConfiguration;
  readonly directory: UpstreamDirectory;
  readonly suspicions: SuspicionTracker;
  readonly prober: UpstreamProber;
  readonly responseEndCheck: ResponseEndCheck;
  readonly load: UpstreamLoadTracker;
  readonly linkLoad: LinkLoad;
  readonly readingBacklog: PrefillBacklog;
  readonly slowness: SlownessTracker;
  readonly rateLimiter: UpstreamRateLimiter;
  readonly budget: RetryBudget;
  readonly outcomes: OutcomeHistory;
}
