import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Suspicions} from '../../fleet/common/suspicions.js';
import {Slowness} from '../../fleet/common/slowness.js';
import {UpstreamControl} from '../../fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamLoad} from '../../fleet/common/upstreamLoad.js';
import {LinkLoad} from '../../paths/common/linkLoad.js';
import {ReadingBacklog} from '../../paths/common/readingBacklog.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {ConfigurationKeeper} from '../../traffic/common/configurationKeeper.js';
import {ForwardingSettings} from '../common/forwardingSettings.js';
import {OutcomeHistory} from '../common/outcomeHistory.js';
import {RetryBudget} from '../common/retryBudget.js';
import {UpstreamConnector} from '../common/upstreamExchange.js';
import {Wire} from '../common/wire.js';
import {RequestMetrics} from './requestMetrics.js';
import {UpstreamTrials} from './upstreamTrials.js';

/** The services that forwarding depends on; constructed by the program. */
export interface ForwardingServices {
  readonly settings: ForwardingSettings;
  readonly mechanisms: Mechanisms;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: RequestMetrics;
  readonly wire: Wire;
  readonly connector: UpstreamConnector;
  readonly control: UpstreamControl;
  readonly configuration: ConfigurationKeeper;
  readonly directory: UpstreamDirectory;
  readonly suspicions: Suspicions;
  readonly trials: UpstreamTrials;
  readonly load: UpstreamLoad;
  readonly linkLoad: LinkLoad;
  readonly readingBacklog: ReadingBacklog;
  readonly slowness: Slowness;
  readonly budget: RetryBudget;
  readonly outcomes: OutcomeHistory;
}
