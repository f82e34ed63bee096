import {Clock} from '../../base/common/clock.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {NonceGenerator} from '../../features/configuration/common/configurationProposer.js';
import {PeerConnection} from '../../features/peers/common/peerConnection.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {MembershipList} from '../../infrastructure/membership/common/membershipList.js';
import {Metrics} from '../../infrastructure/metrics/common/metrics.js';
import {ObjectStore} from '../../infrastructure/objects/common/objectStore.js';
import {TableService} from '../../infrastructure/table/common/tableService.js';

/** Periods and time limits of the control program. */
export interface ControlTimings {
  readonly headReadSeconds: number;
  /** Interval between reads of the list by an instance that reaches no peer, and average interval between all reads. */
  readonly membershipReadSeconds: number;
  /** Rate at which an instance reads the list, if all instances together read often enough. */
  readonly membershipReadBytesPerSecond: number;
  readonly peerExchangeSeconds: number;
  readonly confirmationBoundSeconds: number;
}

/** Dependencies of `ControlCore`. */
export interface ControlDependencies {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly membership: MembershipList;
  readonly peers: PeerConnection;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly nonce: NonceGenerator;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
